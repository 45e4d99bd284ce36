/// Claims of idempotency keys: what a refused claim leaves to later ones.

#include "vcFakeStore.h"
#include "vcRequests.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr Duration kStep{ 50 };

/// One router that owns all key slots, and its store.
struct KeyRouter
{
  IdempotencyState mKeys;
  FakeStore mStore;
  TimePoint mNow{ 10'000 };
  bool mIsStoreDown = false;
};

/// Carries out the calls to the store. While it is down, calls that write a
/// journal are refused; the leases stay valid.
void Pump(KeyRouter& aRouter)
{
  auto& keys = aRouter.mKeys;
  while (!keys.mStore.mCalls.empty()) {
    for (const auto& call : std::exchange(keys.mStore.mCalls, {})) {
      StoreReply reply;
      reply.mStatus = StoreStatus::kUnavailable;
      if (!aRouter.mIsStoreDown || !call.mRoute.starts_with("journal/")) {
        reply = HandleStoreCall(
                  aRouter.mStore, call.mRequest, Duration{ 0 }, aRouter.mNow)
                  .mReply;
      }
      OnIdempotencyStoreReply(keys, call.mRoute, call.mId, reply, aRouter.mNow);
    }
  }
}

void Run(KeyRouter& aRouter, Duration aTime)
{
  const TimePoint end = aRouter.mNow + aTime;
  while (aRouter.mNow < end) {
    aRouter.mNow += kStep;
    TickIdempotency(aRouter.mKeys, aRouter.mNow);
    Pump(aRouter);
  }
}

KeyRouter MakeRouter()
{
  KeyRouter router;
  router.mKeys = MakeIdempotencyState(
    { "north-0-router", "north", Role::kRouter, "127.0.0.1:1", false });
  constexpr Duration kOpeningTime{ 10'000 };
  Run(router, kOpeningTime);
  return router;
}

/// Claims the key and returns the verdict after `aTime`.
KeyVerdict Claim(KeyRouter& aRouter,
                 const std::string& aFingerprint,
                 const std::string& aNonce,
                 Duration aTime)
{
  const auto ticket =
    ClaimKey(aRouter.mKeys, { "key", aFingerprint, aNonce }, aRouter.mNow);
  Pump(aRouter);
  Run(aRouter, aTime);
  const auto& replies = aRouter.mKeys.mReplies;
  const auto found =
    std::find_if(replies.begin(), replies.end(), [&](const auto& aReply) {
      return aReply.mTicket == ticket;
    });
  REQUIRE(found != replies.end());
  return found->mAnswer.mVerdict;
}

constexpr Duration kPastDeadline{ 1'200 };
constexpr Duration kShort{ 200 };

} // namespace

// Guards against "a request was sent before" for one that was refused as not
// run: the router of a second data centre, or the caller, claims the key anew.
TEST_CASE("A refused claim leaves its key to the next request", "[keys]")
{
  KeyRouter router = MakeRouter();
  router.mIsStoreDown = true;
  REQUIRE(Claim(router, "same", "a", kPastDeadline) ==
          KeyVerdict::kUnavailable);
  CHECK(Claim(router, "other", "x", kShort) == KeyVerdict::kMismatch);
  CHECK(Claim(router, "same", "b", kPastDeadline) == KeyVerdict::kUnavailable);
  router.mIsStoreDown = false;
  Run(router, kPastDeadline);
  CHECK(Claim(router, "same", "c", kShort) == KeyVerdict::kGranted);
}

// Guards against two grants of one key after a refusal: whoever claims first
// has it, and the refused request is then a duplicate.
TEST_CASE("A key is granted once after a refusal", "[keys]")
{
  for (const std::string first : { "a", "b" }) {
    CAPTURE(first);
    const std::string second = first == "a" ? "b" : "a";
    KeyRouter router = MakeRouter();
    router.mIsStoreDown = true;
    REQUIRE(Claim(router, "same", "a", kPastDeadline) ==
            KeyVerdict::kUnavailable);
    router.mIsStoreDown = false;
    Run(router, kPastDeadline);
    CHECK(Claim(router, "same", first, kShort) == KeyVerdict::kGranted);
    CHECK(Claim(router, "same", second, kShort) == KeyVerdict::kDuplicate);
    CHECK(Claim(router, "same", first, kShort) == KeyVerdict::kGranted);
  }
}

// Guards against an answer to a claim after the deadline of its request.
TEST_CASE("A claim waits no longer than its request may", "[keys]")
{
  constexpr Duration kMaxWait{ 300 };
  KeyRouter router = MakeRouter();
  router.mIsStoreDown = true;
  const auto ticket =
    ClaimKey(router.mKeys, { "key", "same", "a" }, router.mNow, kMaxWait);
  Run(router, kMaxWait - kStep);
  CHECK(router.mKeys.mReplies.empty());
  Run(router, kStep);
  REQUIRE(router.mKeys.mReplies.size() == 1);
  CHECK(router.mKeys.mReplies.front().mTicket == ticket);
  CHECK(router.mKeys.mReplies.front().mAnswer.mVerdict ==
        KeyVerdict::kUnavailable);
}

} // namespace verbenacroft
