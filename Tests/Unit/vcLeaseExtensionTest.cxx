/// Odd input, settings and limits of the leases' extension.

#include "vcLeaseExtension.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

constexpr std::uint64_t kEpoch = 10;
constexpr TimePoint kAskedAt{ 1'000 };

/// An owner with the members `b` and `c`, and `b`.
struct ExtensionFixture
{
  ExtensionFixture()
  {
    this->mOwner.mOwner = "a";
    this->mOwner.mEpoch = kEpoch;
    OnStoreProof(this->mOwner, TimePoint(0));
    OnNodeTable(
      this->mOwner, { kEpoch, { "a", "b", "c" }, true }, TimePoint(0));
    this->mMember.mNode = "b";
    this->mMember.mHasRecord = true;
    OnOwnerSeen(this->mMember, kEpoch, "a");
  }

  /// The open orders, by member.
  std::map<std::string, ConfirmOrder> Ask(TimePoint aNow)
  {
    std::map<std::string, ConfirmOrder> orders;
    for (const auto& order : AskMembers(this->mOwner, false, aNow)) {
      orders[order.mMember] = order;
    }
    return orders;
  }

  /// All members confirm.
  void ConfirmAll(TimePoint aAskedAt)
  {
    for (const auto& [name, order] : this->Ask(aAskedAt)) {
      OnConfirmAnswer(this->mOwner, { order, ConfirmOutcome::kConfirmed });
    }
  }

  LeaseExtension mOwner;
  ShardMember mMember;
};

} // namespace

TEST_CASE("leases last as long as the last proof allows", "[extension]")
{
  ExtensionFixture fixture;
  const LeaseExtensionSettings settings;
  struct Row
  {
    TimePoint mConfirmedAt;
    TimePoint mEnd;
    ExtensionState mState;
  };
  const Row row = GENERATE_COPY(values<Row>({
    { TimePoint(0), settings.mShortLimit, ExtensionState::kStore },
    { TimePoint(5'000),
      TimePoint(5'000) + settings.mShortLimit,
      ExtensionState::kMembers },
    { settings.mLongLimit, settings.mLongLimit, ExtensionState::kLongLimit },
  }));
  fixture.ConfirmAll(row.mConfirmedAt);
  const LeasesEnd end = LeasesEndOf(fixture.mOwner);
  CHECK(end.mAt == row.mEnd);
  CHECK(NameOf(end.mState) == NameOf(row.mState));
}

TEST_CASE("a message that isn't the expected one extends nothing",
          "[extension]")
{
  ExtensionFixture fixture;
  auto orders = fixture.Ask(kAskedAt);
  OnConfirmAnswer(fixture.mOwner, { orders["c"], ConfirmOutcome::kConfirmed });
  ConfirmAnswer answer{ orders["b"], ConfirmOutcome::kConfirmed };
  AnswerUse use = AnswerUse::kForeign;
  SECTION("of another owner")
  {
    answer.mOrder.mOwner = "c";
  }
  SECTION("of another shard")
  {
    answer.mOrder.mShard = 1;
  }
  SECTION("of another epoch")
  {
    answer.mOrder.mEpoch = kEpoch + 1;
  }
  SECTION("of an unknown node")
  {
    answer.mOrder.mMember = "d";
  }
  SECTION("to an earlier order")
  {
    fixture.Ask(kAskedAt + Duration(1));
    use = AnswerUse::kLate;
  }
  SECTION("without a number")
  {
    answer.mOrder.mNumber = 0;
    use = AnswerUse::kLate;
  }
  SECTION("a refusal")
  {
    answer.mOutcome = ConfirmOutcome::kUnknownEpoch;
    use = AnswerUse::kRefused;
  }
  CHECK(NameOf(OnConfirmAnswer(fixture.mOwner, answer)) == NameOf(use));
  CHECK(LeasesEndOf(fixture.mOwner).mAt ==
        fixture.mOwner.mSettings.mShortLimit);
}

TEST_CASE("an end that a member knows outlasts its confirmations",
          "[extension]")
{
  ExtensionFixture fixture;
  fixture.ConfirmAll(kAskedAt);
  auto orders = fixture.Ask(kAskedAt + Duration(500));
  OnConfirmAnswer(fixture.mOwner, { orders["b"], ConfirmOutcome::kEnded });
  fixture.ConfirmAll(kAskedAt + Duration(1'000));
  CHECK(LeasesEndOf(fixture.mOwner).mAt ==
        fixture.mOwner.mSettings.mShortLimit);
}

TEST_CASE("a node record that can't be read ends the extension", "[extension]")
{
  ExtensionFixture fixture;
  fixture.ConfirmAll(kAskedAt);
  OnNodeTable(fixture.mOwner, { kEpoch, { "a", "b", "c" }, false }, kAskedAt);
  CHECK(LeasesEndOf(fixture.mOwner).mAt ==
        fixture.mOwner.mSettings.mShortLimit);
}

TEST_CASE("a node confirms only what it knows", "[extension]")
{
  ExtensionFixture fixture;
  ConfirmOrder order = fixture.Ask(kAskedAt)["b"];
  ConfirmOutcome outcome = ConfirmOutcome::kConfirmed;
  SECTION("the owner it knows") {}
  SECTION("another node")
  {
    order.mMember = "c";
    outcome = ConfirmOutcome::kMisdirected;
  }
  SECTION("another shard")
  {
    order.mShard = 1;
    outcome = ConfirmOutcome::kMisdirected;
  }
  SECTION("another owner")
  {
    order.mOwner = "c";
    outcome = ConfirmOutcome::kUnknownEpoch;
  }
  SECTION("a later epoch")
  {
    ++order.mEpoch;
    outcome = ConfirmOutcome::kUnknownEpoch;
  }
  SECTION("an earlier epoch")
  {
    --order.mEpoch;
    outcome = ConfirmOutcome::kEnded;
  }
  SECTION("an epoch that has ended")
  {
    OnOwnerGone(fixture.mMember, kAskedAt);
    OnOwnerSeen(fixture.mMember, kEpoch, "a");
    outcome = ConfirmOutcome::kEnded;
  }
  SECTION("an epoch that it has tried to replace")
  {
    OnClaimSent(fixture.mMember, kEpoch);
    outcome = ConfirmOutcome::kEnded;
  }
  SECTION("before it has a record of its own")
  {
    fixture.mMember.mHasRecord = false;
    outcome = ConfirmOutcome::kNoRecord;
  }
  CHECK(NameOf(Confirm(fixture.mMember, order).mOutcome) == NameOf(outcome));
}

TEST_CASE("settings of the extension are checked", "[extension]")
{
  LeaseExtensionSettings settings;
  std::string path;
  SECTION("the defaults") {}
  SECTION("a lease longer than the short limit")
  {
    settings.mShortLimit = Duration(5'999);
    path = "$.shortLimitMs";
  }
  SECTION("a long limit below the short one")
  {
    settings.mLongLimit = Duration(6'499);
    path = "$.longLimitMs";
  }
  SECTION("a small margin")
  {
    settings.mClockMargin = 0.039;
    path = "$.clockMargin";
  }
  SECTION("a negative time")
  {
    settings.mDropAfter = Duration(-1);
    path = "$.dropAfterMs";
  }
  Faults faults;
  CheckLeaseExtension(settings, Duration(6'000), "$", faults);
  CHECK(faults.size() == (path.empty() ? 0U : 1U));
  for (const Fault& fault : faults) {
    CHECK(fault.mPath == path);
  }
}

} // namespace verbenacroft
