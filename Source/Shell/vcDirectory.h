#pragma once

/// The directory of processes, kept in the store under leases: this process's
/// own entry, the members of its data centre and, on demand, of all.

#include "vcOwnership.h"
#include "vcServerSupport.h"

namespace verbenacroft {

class Directory
{
public:
  Directory(StoreClient& aStore, const Member& aSelf, std::string aPeerToken);

  /// Renews and scans what is due.
  void Step(asio::io_context& aContext);

  /// Members of the data centre with the role, as last read.
  std::vector<Member> Members(Role aRole) const;

  /// Members of all data centres; read from the store, or as last read.
  asio::awaitable<std::vector<Member>> AllMembers();

  const std::string& PeerToken() const;

  void Leave();

private:
  StoreClient& mStore;
  OwnershipState mState;
  StoreOutbox mOutbox;
  std::string mPeerToken;
  std::vector<Member> mAll;
  TimePoint mAllReadAt = kNever;
};

} // namespace verbenacroft
