#include "vcJobProxy.h"

#include "vcSchedulerMessages.h"

#include <algorithm>

namespace verbenacroft {

namespace {

/// Timeout of one attempt, in ms.
constexpr Duration kJobTimeout{ 6'000 };
constexpr std::size_t kMaxAttempts = 3;

/// Lists the schedulers that may be called, those of this data centre first.
asio::awaitable<std::vector<Member>> ListCandidates(Directory& aDirectory)
{
  auto members = aDirectory.Members(Role::kScheduler);
  const auto all = co_await aDirectory.AllMembers();
  for (const auto& member : all) {
    const bool isKnown =
      std::any_of(members.begin(), members.end(), [&](const Member& aOther) {
        return aOther.mName == member.mName;
      });
    if (member.mRole == Role::kScheduler && !member.mIsLeaving && !isKnown) {
      members.push_back(member);
    }
  }
  co_return members;
}

/// Response if no scheduler answered: 503 (not run) if no request was sent, 504
/// (outcome unknown) otherwise.
HttpResponse NoAnswerResponse(bool aWasSent)
{
  JobAnswer answer;
  answer.mStatus =
    aWasSent ? JobRequestStatus::kUnknown : JobRequestStatus::kNotRun;
  answer.mError = "no scheduler answered";
  return JsonResponse(Encode(answer), aWasSent ? 504 : 503);
}

} // namespace

asio::awaitable<HttpResponse> ForwardJob(HttpClient& aHttp,
                                         Directory& aDirectory,
                                         HttpRequest aRequest)
{
  const std::vector<Member> members = co_await ListCandidates(aDirectory);
  bool wasSent = false;
  for (std::size_t i = 0; i < members.size() && i < kMaxAttempts; ++i) {
    const auto endpoint = ParseEndpoint(members[i].mPeerAddress);
    if (!endpoint) {
      continue;
    }
    HttpRequest request = PeerRequest(aRequest.mMethod,
                                      aRequest.mTarget,
                                      aDirectory.PeerToken(),
                                      aRequest.mBody);
    HttpCallOptions options;
    options.mTimeout = kJobTimeout;
    HttpResult result =
      co_await aHttp.Call(*endpoint, std::move(request), std::move(options));
    wasSent = wasSent || result.mWasSent;
    const bool isNotRun = result.mResponse.mStatus == 503;
    if (!result.mError && (!isNotRun || i + 1 == members.size())) {
      co_return JsonResponse(std::move(result.mResponse.mBody),
                             result.mResponse.mStatus);
    }
  }
  co_return NoAnswerResponse(wasSent);
}

} // namespace verbenacroft
