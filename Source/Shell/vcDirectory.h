#pragma once

/// Directory of the running processes. Each process keeps its own entry in the
/// store under a lease, and reads the entries of its data centre periodically
/// and those of all data centres on demand.

#include "vcOwnership.h"
#include "vcServerSupport.h"

namespace verbenacroft {

/// Registers this process in the store and lists the other processes.
class Directory
{
public:
  /// `aSelf` is the entry of this process; `aPeerToken` is the secret that it
  /// sends to peers. `aStore` must outlive the object.
  Directory(StoreClient& aStore, const Member& aSelf, std::string aPeerToken);

  /// Starts the lease renewals and directory scans that are due. Call it
  /// periodically. The object must outlive the store calls that it starts.
  void Step(asio::io_context& aContext);

  /// Returns the members of this data centre that have the role and are not
  /// leaving, as of the last scan.
  std::vector<Member> Members(Role aRole) const;

  /// Returns the members of all data centres, including those that are
  /// leaving. The list is read from the store at most once a second; callers
  /// in between, or after a failed read, get the previous list.
  asio::awaitable<std::vector<Member>> AllMembers();

  /// Secret that is sent to peers.
  const std::string& PeerToken() const;

  /// Marks this process as leaving; a later `Step` writes it to the store.
  void Leave();

private:
  StoreClient& mStore;
  OwnershipState mState;
  StoreOutbox mOutbox;
  std::string mPeerToken;
  std::vector<Member> mAllMembers;
  TimePoint mAllMembersReadAt = kNever;
};

} // namespace verbenacroft
