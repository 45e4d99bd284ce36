/// The journal: recovery from every prefix, lost answers, former writers.

#include "vcJournal.h"
#include "vcFakeStore.h"

#include <catch2/catch.hpp>

namespace verbenacroft {

namespace {

/// What becomes of the calls of one step.
enum class Fate
{
  kAnswered,
  kAnswerLost,
  kCallLost,
};

/// Carries calls out until none is left.
JournalEvent Pump(JournalWriter& aWriter,
                  FakeStore& aStore,
                  StoreOutbox& aOut,
                  TimePoint& aNow,
                  Fate aFate = Fate::kAnswered)
{
  JournalEvent last = JournalEvent::kNone;
  while (!aOut.mCalls.empty()) {
    const auto calls = std::exchange(aOut.mCalls, {});
    for (const auto& call : calls) {
      StoreReply reply;
      reply.mStatus = StoreStatus::kUnknown;
      if (aFate != Fate::kCallLost) {
        const auto result =
          HandleStoreCall(aStore, call.mRequest, Duration{ 0 }, aNow);
        if (aFate == Fate::kAnswered) {
          reply = result.mReply;
        }
      }
      const auto event = OnJournalReply(aWriter, call.mId, reply, aNow, aOut);
      last = event == JournalEvent::kNone ? last : event;
    }
  }
  return last;
}

JournalWriter Open(FakeStore& aStore,
                   const std::string& aName,
                   std::uint64_t aEpoch,
                   TimePoint& aNow)
{
  JournalWriter writer;
  StoreOutbox out;
  writer.mReader.mName = "test";
  writer.mWriterName = aName;
  OpenJournal(writer, aEpoch, out);
  REQUIRE(Pump(writer, aStore, out, aNow) == JournalEvent::kOpened);
  return writer;
}

std::vector<std::int64_t> Contents(const JournalWriter& aWriter)
{
  std::vector<std::int64_t> all;
  for (const auto& news : aWriter.mUpdates) {
    if (news.mSnapshot) {
      all.clear();
      for (const auto& value : news.mSnapshot->mState.as_array()) {
        all.push_back(value.as_int64());
      }
    }
    for (const auto& entry : news.mEntries) {
      for (const auto& value : entry.mRecords) {
        all.push_back(value.as_int64());
      }
    }
  }
  return all;
}

void Write(JournalWriter& aWriter,
           FakeStore& aStore,
           std::int64_t aValue,
           TimePoint& aNow)
{
  StoreOutbox out;
  Append(aWriter, aValue);
  Flush(aWriter, aNow, std::nullopt, out);
  REQUIRE(Pump(aWriter, aStore, out, aNow) == JournalEvent::kDurable);
}

} // namespace

TEST_CASE("a journal is read back from every prefix", "[journal]")
{
  const auto count = GENERATE(range(0, 12));
  FakeStore store;
  TimePoint now{ 1'000 };
  auto writer = Open(store, "w", 1, now);
  std::vector<std::int64_t> expected;
  for (int i = 0; i < count; ++i) {
    Write(writer, store, i, now);
    expected.push_back(i);
  }
  const auto reader = Open(store, "r", 2, now);
  CHECK(Contents(reader) == expected);
}

TEST_CASE("a write whose answer or call was lost is made once", "[journal]")
{
  const auto fate = GENERATE(Fate::kAnswerLost, Fate::kCallLost);
  FakeStore store;
  TimePoint now{ 1'000 };
  auto writer = Open(store, "w", 1, now);
  StoreOutbox out;
  Append(writer, 7);
  Flush(writer, now, std::nullopt, out);
  Pump(writer, store, out, now, fate);
  CHECK(writer.mDurable == 0);
  now += Duration{ 200 };
  RetryJournal(writer, now, out);
  CHECK(Pump(writer, store, out, now) == JournalEvent::kDurable);
  CHECK(writer.mDurable == 1);
  CHECK(Contents(Open(store, "r", 2, now)) == std::vector<std::int64_t>{ 7 });
}

TEST_CASE("a write that arrives late after its repeat changes nothing",
          "[journal]")
{
  FakeStore store;
  TimePoint now{ 1'000 };
  auto writer = Open(store, "w", 1, now);
  StoreOutbox out;
  Append(writer, 7);
  Flush(writer, now, std::nullopt, out);
  const auto delayed = out.mCalls.front().mRequest;
  Pump(writer, store, out, now, Fate::kCallLost);
  now += Duration{ 200 };
  RetryJournal(writer, now, out);
  Pump(writer, store, out, now);
  Write(writer, store, 8, now);
  HandleStoreCall(store, delayed, Duration{ 0 }, now);
  CHECK(Contents(Open(store, "r", 2, now)) ==
        std::vector<std::int64_t>{ 7, 8 });
}

TEST_CASE("a former writer is deposed by its next write", "[journal]")
{
  FakeStore store;
  TimePoint now{ 1'000 };
  auto former = Open(store, "w", 1, now);
  Write(former, store, 1, now);
  auto successor = Open(store, "s", 2, now);
  StoreOutbox out;
  Append(former, 2);
  Flush(former, now, std::nullopt, out);
  CHECK(Pump(former, store, out, now) == JournalEvent::kFenced);
  Write(successor, store, 3, now);
  CHECK(Contents(Open(store, "r", 3, now)) ==
        std::vector<std::int64_t>{ 1, 3 });
}

TEST_CASE("an older epoch can't open the journal", "[journal]")
{
  FakeStore store;
  TimePoint now{ 1'000 };
  Open(store, "w", 5, now);
  JournalWriter writer;
  StoreOutbox out;
  writer.mReader.mName = "test";
  OpenJournal(writer, 4, out);
  CHECK(Pump(writer, store, out, now) == JournalEvent::kFenced);
}

TEST_CASE("the ring is used over and over with snapshots", "[journal]")
{
  FakeStore store;
  TimePoint now{ 1'000 };
  auto writer = Open(store, "w", 1, now);
  StoreOutbox out;
  boost::json::array state;
  constexpr int kWrites = 3 * static_cast<int>(kJournalSlots);
  for (int i = 0; i < kWrites; ++i) {
    now += Duration{ 10 };
    Append(writer, i);
    state.push_back(i);
    std::optional<JournalRecord> snapshot;
    if (IsSnapshotDue(writer)) {
      snapshot = state;
    }
    Flush(writer, now, snapshot, out);
    REQUIRE(Pump(writer, store, out, now) == JournalEvent::kDurable);
    RetryJournal(writer, now, out);
    Pump(writer, store, out, now);
  }
  const auto contents = Contents(Open(store, "r", 2, now));
  REQUIRE(contents.size() == static_cast<std::size_t>(kWrites));
  CHECK(contents.back() == kWrites - 1);
  CHECK(store.mLargestValue < kMaxStoreValueBytes);
}

TEST_CASE("writers of a shared journal don't overwrite each other", "[journal]")
{
  FakeStore store;
  TimePoint now{ 1'000 };
  JournalWriter left;
  JournalWriter right;
  StoreOutbox out;
  for (auto* writer : { &left, &right }) {
    writer->mReader.mName = "test";
    writer->mSharing = JournalSharing::kShared;
    writer->mWriterName = writer == &left ? "l" : "r";
    OpenJournal(*writer, 0, out);
    Pump(*writer, store, out, now);
  }
  Append(left, 1);
  Flush(left, now, std::nullopt, out);
  StoreOutbox other;
  Append(right, 2);
  Flush(right, now, std::nullopt, other);
  // The left write's answer is lost, and a watch shows it the right one's
  // entry before it looks at what became of its own.
  Pump(right, store, other, now);
  Pump(left, store, out, now, Fate::kCallLost);
  StoreRequest all;
  all.mKey = JournalPrefix("test");
  all.mIsPrefix = true;
  const auto read = HandleStoreCall(store, all, Duration{ 0 }, now);
  left.mUpdates.push_back(DeliverInOrder(left.mReader, read.mReply.mEntries));
  now += Duration{ 200 };
  RetryJournal(left, now, out);
  CHECK(Pump(left, store, out, now) == JournalEvent::kIndexTaken);
  CHECK(Contents(left) == std::vector<std::int64_t>{ 2 });
}

} // namespace verbenacroft
