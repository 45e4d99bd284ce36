/// The budget of memory and connections of a process's servers: who is evicted,
/// and when.

#include "vcHttpListener.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

namespace verbenacroft {

namespace {

using Phase = HttpAccount::Phase;

constexpr TimePoint kBegin{ 10'000 };

struct TestAccount : HttpAccount
{
  void Interrupt() override { this->mIsInterrupted = true; }
  bool mIsInterrupted = false;
};

/// A connection as a row of a test.
struct AccountRow
{
  Phase mPhase;
  Duration mAge;
  std::size_t mBytes;
};

/// A budget, by default of 1,000 bytes and three connections.
struct BudgetFixture
{
  explicit BudgetFixture(const std::vector<AccountRow>& aRows,
                         HttpBudgetLimits aLimits = { 1'000, 3 })
    : mBudget(aLimits)
  {
    for (const auto& row : aRows) {
      auto account = std::make_unique<TestAccount>();
      this->mBudget.Open(*account, kBegin - row.mAge);
      this->mBudget.SetPhase(*account, row.mPhase, kBegin - row.mAge);
      this->mBudget.Charge(*account, row.mBytes, kBegin - row.mAge);
      this->mAccounts.push_back(std::move(account));
    }
  }
  ~BudgetFixture()
  {
    for (auto& account : this->mAccounts) {
      this->mBudget.Close(*account);
    }
    CHECK(this->mBudget.Bytes() == 0);
    CHECK(this->mBudget.Connections() == 0);
  }
  BudgetFixture(const BudgetFixture&) = delete;
  BudgetFixture& operator=(const BudgetFixture&) = delete;

  /// Index of the only connection that was evicted; -1 if there is none.
  int Evicted() const
  {
    int evicted = -1;
    for (std::size_t i = 0; i < this->mAccounts.size(); ++i) {
      if (this->mAccounts[i]->mPhase == Phase::kEvicted) {
        CHECK(this->mAccounts[i]->mIsInterrupted);
        CHECK(evicted == -1);
        evicted = static_cast<int>(i);
      }
    }
    return evicted;
  }

  HttpBudget mBudget;
  std::vector<std::unique_ptr<TestAccount>> mAccounts;
};

} // namespace

// Guards against memory without a bound, and against complete requests that are
// refused for the sake of incomplete ones.
TEST_CASE("the largest and slowest incomplete request is evicted", "[budget]")
{
  struct Row
  {
    const char* mName;
    std::vector<AccountRow> mAccounts;
    std::size_t mCharge;
    int mEvicted;
  };
  const auto row = GENERATE(values<Row>({
    { "all fits",
      { { Phase::kReceiving, Duration(100), 400 },
        { Phase::kReceiving, Duration(100), 0 } },
      600,
      -1 },
    { "the larger one",
      { { Phase::kReceiving, Duration(100), 600 },
        { Phase::kReceiving, Duration(100), 0 } },
      500,
      0 },
    { "the slower one of the same size",
      { { Phase::kReceiving, Duration(100), 500 },
        { Phase::kReceiving, Duration(900), 0 } },
      510,
      1 },
    { "not one that is handled",
      { { Phase::kHandling, Duration(900), 900 },
        { Phase::kReceiving, Duration(0), 0 } },
      200,
      1 },
    { "handled ones alone exceed the budget",
      { { Phase::kHandling, Duration(900), 1'000 },
        { Phase::kReceiving, Duration(0), 0 } },
      10,
      1 },
    { "a response that isn't read",
      { { Phase::kSending, Duration(600), 600 },
        { Phase::kReceiving, Duration(0), 0 } },
      500,
      0 },
    { "not a response that the client takes",
      { { Phase::kSending, Duration(100), 600 },
        { Phase::kReceiving, Duration(0), 0 } },
      500,
      1 },
    { "not an idle one",
      { { Phase::kIdle, Duration(900), 600 },
        { Phase::kReceiving, Duration(0), 0 } },
      500,
      1 },
  }));
  CAPTURE(row.mName);
  BudgetFixture fixture(row.mAccounts);
  fixture.mBudget.Charge(*fixture.mAccounts.back(), row.mCharge, kBegin);
  CHECK(fixture.Evicted() == row.mEvicted);
  CHECK(fixture.mBudget.Bytes() <= 1'000);
  CHECK(fixture.mBudget.Refusals(HttpRefusal::kMemory) ==
        (row.mEvicted < 0 ? 0 : 1));
}

// Guards against complete requests that wait for the store and take more memory
// than there is, and against so many of them that nobody else is answered.
TEST_CASE("a complete request is admitted only if there is room", "[budget]")
{
  struct Row
  {
    const char* mName;
    std::vector<AccountRow> mAccounts;
    std::size_t mBytes;
    bool mIsAdmitted;
    int mEvicted;
  };
  const auto row = GENERATE(values<Row>({
    { "there is room",
      { { Phase::kHandling, Duration(100), 400 },
        { Phase::kReceiving, Duration(0), 100 } },
      600,
      true,
      -1 },
    { "an incomplete request gives way",
      { { Phase::kReceiving, Duration(100), 600 },
        { Phase::kReceiving, Duration(0), 100 } },
      600,
      true,
      0 },
    { "what is handled takes all",
      { { Phase::kHandling, Duration(100), 600 },
        { Phase::kReceiving, Duration(0), 100 } },
      600,
      false,
      -1 },
    { "it is alone and too large",
      { { Phase::kReceiving, Duration(0), 100 } },
      1'100,
      false,
      -1 },
    { "too many are handled",
      { { Phase::kHandling, Duration(100), 0 },
        { Phase::kHandling, Duration(100), 0 },
        { Phase::kHandling, Duration(100), 0 },
        { Phase::kReceiving, Duration(0), 0 } },
      1,
      false,
      -1 },
  }));
  CAPTURE(row.mName);
  BudgetFixture fixture(row.mAccounts, { 1'000, 4 });
  const bool isAdmitted =
    fixture.mBudget.Admit(*fixture.mAccounts.back(), row.mBytes, kBegin);
  CHECK(isAdmitted == row.mIsAdmitted);
  CHECK(fixture.Evicted() == row.mEvicted);
  CHECK(fixture.mBudget.Bytes() <= 1'000);
}

// Guards against connections that are held open and keep ordinary callers out.
TEST_CASE("a new connection takes the place of a slow or idle one", "[budget]")
{
  struct Row
  {
    const char* mName;
    std::vector<AccountRow> mAccounts;
    bool mIsOpened;
    int mEvicted;
  };
  const auto row = GENERATE(values<Row>({
    { "there is room",
      { { Phase::kIdle, Duration(900), 0 },
        { Phase::kReceiving, Duration(900), 0 } },
      true,
      -1 },
    { "an incomplete request before an idle connection",
      { { Phase::kIdle, Duration(900), 0 },
        { Phase::kReceiving, Duration(300), 0 },
        { Phase::kHandling, Duration(900), 0 } },
      true,
      1 },
    { "a request that has just begun stays",
      { { Phase::kIdle, Duration(300), 0 },
        { Phase::kReceiving, Duration(50), 0 },
        { Phase::kHandling, Duration(900), 0 } },
      true,
      0 },
    { "the connection that is idle for longest",
      { { Phase::kIdle, Duration(300), 0 },
        { Phase::kIdle, Duration(900), 0 },
        { Phase::kHandling, Duration(900), 0 } },
      true,
      1 },
    { "a response that isn't read before an idle connection",
      { { Phase::kIdle, Duration(900), 0 },
        { Phase::kSending, Duration(600), 0 },
        { Phase::kHandling, Duration(900), 0 } },
      true,
      1 },
    { "a response that the client takes stays",
      { { Phase::kIdle, Duration(10), 0 },
        { Phase::kSending, Duration(100), 0 },
        { Phase::kHandling, Duration(900), 0 } },
      true,
      0 },
    { "a response before the new connection is turned away",
      { { Phase::kHandling, Duration(900), 0 },
        { Phase::kSending, Duration(100), 0 },
        { Phase::kHandling, Duration(900), 0 } },
      true,
      1 },
    { "all are handled",
      { { Phase::kHandling, Duration(300), 0 },
        { Phase::kHandling, Duration(900), 0 },
        { Phase::kHandling, Duration(900), 0 } },
      false,
      -1 },
  }));
  CAPTURE(row.mName);
  TestAccount added;
  BudgetFixture fixture(row.mAccounts);
  const bool isOpened = fixture.mBudget.Open(added, kBegin);
  CHECK(isOpened == row.mIsOpened);
  CHECK(fixture.Evicted() == row.mEvicted);
  if (isOpened) {
    fixture.mBudget.Close(added);
  }
}

// Guards against limits that ordinary clients would reach.
TEST_CASE("the limits of a budget follow from the process", "[budget]")
{
  struct Row
  {
    std::size_t mMemoryMb;
    std::size_t mDescriptors;
    std::size_t mBytes;
    std::size_t mConnections;
  };
  const auto row = GENERATE(values<Row>({
    { 64, 256, 8'000'000, 128 },
    { 160, 4'100, 20'000'000, 697 },
    { 260, 4'100, 32'500'000, 1'133 },
    { 512, 8'192, 64'000'000, 2'232 },
    { 4'000, 1'000'000, 500'000'000, 4'096 },
  }));
  const HttpBudgetLimits limits =
    BudgetLimitsFor(row.mMemoryMb * 1'000'000, row.mDescriptors);
  CHECK(limits.mBytes == row.mBytes);
  CHECK(limits.mConnections == row.mConnections);
  // The rest is for the program itself.
  const std::size_t kernelBytes =
    limits.mConnections * kKernelBytesPerConnection;
  CHECK(limits.mBytes + kernelBytes <= row.mMemoryMb * 1'000'000 * 5 / 8);
}

} // namespace verbenacroft
