#pragma once

/// What the operators' configuration says of a caller's request: its queue, its
/// team, and whether a write by it is still right when it is carried out.
/// Internal to the Node library.

#include "vcCallerResponses.h"
#include "vcNodeContext.h"

namespace verbenacroft {

/// A queue is only said not to exist by a configuration that was current at
/// most this long ago: a configuration has to take effect within 2 s.
constexpr Duration kMaxConfigAge{ 2'000 };

/// Parsed request of a caller.
struct CallerRequest
{
  std::string mMethod;
  std::string mHost;
  std::string mPath;
  std::string mBody;
  /// Key of the caller's team; empty if the request has none.
  std::string mCredential;
  /// Path below the queue's prefix: a job identifier, or empty.
  std::string mSubpath;
  QueueTerms mTerms;
  bool mIsQueueOpen = false;
};

/// Sets the queue of a request by the current configuration.
/// @return false if it has no such queue
bool ResolveQueue(const NodeContext& aNode, CallerRequest& aRequest);

/// True if the configuration was current within `aAge`.
bool WasConfigCurrent(const NodeContext& aNode, Duration aAge);

/// Sets the team of a request whose queue is resolved.
/// @return the response if the request isn't authorized
std::optional<HttpResponse> AuthenticateCaller(const NodeContext& aNode,
                                               CallerRequest& aRequest);

/// Resolves and authenticates a request again, after the configuration has
/// changed.
/// @return the response if it can't be handled any more
std::optional<HttpResponse> ResolveAgain(const NodeContext& aNode,
                                         CallerRequest& aRequest);

/// Lets a write fail if the configuration by which it was made isn't current
/// any more, however old this node's view of it is.
void AddConfigCondition(const NodeContext& aNode, KvTransaction& aWrite);

/// Applies the configuration in the reply to a write that was turned down since
/// it was made by another one.
/// @param aSentAt when the write was sent
/// @return false if the write wasn't turned down for that
bool ApplyConfigOfConflict(NodeContext& aNode,
                           const KvTransaction& aWrite,
                           const KvReply& aReply,
                           TimePoint aSentAt);

/// True if a job belongs to another team than the caller, in a deployment with
/// teams. A job without a team may be of the time before it had any.
bool IsOfOtherTeam(const NodeContext& aNode,
                   const std::string& aJobTeam,
                   const std::string& aTeam);

/// True if a reply shows the record of a job of another team. A job that has
/// ended has no record any more.
bool ShowsOtherTeam(const NodeContext& aNode,
                    const KvReply& aReply,
                    const std::string& aKey,
                    const std::string& aTeam);

/// Response to the use of a job with the key of another team. By an old
/// configuration the key may only seem to be another team's.
HttpResponse OtherTeamResponse(const NodeContext& aNode, const JobId& aJob);

} // namespace verbenacroft
