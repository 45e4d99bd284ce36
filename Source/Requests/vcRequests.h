#pragma once

/// Public header of the Requests library: at-most-once for requests with an
/// Idempotency-Key. A key hashes to a slot; the slot's owner, one router of
/// all, journals the key before the request may be sent.

#include "vcJournal.h"
#include "vcOwnership.h"

namespace verbenacroft {

/// Number of key slots over all data centres.
constexpr std::uint64_t kKeySlots = 16;

/// Time for which a key is remembered at least.
constexpr Duration kKeyRetention{ 600'000 };

/// Largest answer that is kept to be given again, in bytes.
constexpr std::size_t kKeptAnswerBytes = 4'096;

/// A router asks for the right to send a request once.
struct KeyClaim
{
  /// Hash of the key, the backer and the service.
  std::string mKey;
  /// Hash of method, path and body.
  std::string mFingerprint;
  /// Names this attempt, so that the claim itself may be repeated.
  std::string mNonce;
};
BOOST_DESCRIBE_STRUCT(KeyClaim, (), (mKey, mFingerprint, mNonce))

enum class KeyVerdict
{
  /// The asker, and nobody else, may send the request.
  kGranted,
  /// The request was sent before; its answer may be known.
  kDuplicate,
  /// The key was used for another request.
  kMismatch,
  /// Nothing was claimed, or it can't be told; nothing may be sent.
  kUnavailable,
};

template<>
struct EnumTable<KeyVerdict>
{
  static constexpr auto kRows = std::to_array<NameRow<KeyVerdict>>({
    { KeyVerdict::kGranted, "granted" },
    { KeyVerdict::kDuplicate, "duplicate" },
    { KeyVerdict::kMismatch, "mismatch" },
    { KeyVerdict::kUnavailable, "unavailable" },
  });
};

/// Answer that was given to a request.
struct KeptAnswer
{
  std::int64_t mStatus = 0;
  std::string mContentType;
  std::string mBody;
};
BOOST_DESCRIBE_STRUCT(KeptAnswer, (), (mStatus, mContentType, mBody))

struct KeyAnswer
{
  KeyVerdict mVerdict = KeyVerdict::kUnavailable;
  std::optional<KeptAnswer> mAnswer;
};
BOOST_DESCRIBE_STRUCT(KeyAnswer, (), (mVerdict, mAnswer))

/// Tells the owner what the request was answered.
struct KeyResult
{
  std::string mKey;
  std::string mNonce;
  KeptAnswer mAnswer;
};
BOOST_DESCRIBE_STRUCT(KeyResult, (), (mKey, mNonce, mAnswer))

/// Record of a slot's journal.
struct KeyRecord
{
  std::string mKey;
  std::string mFingerprint;
  std::string mNonce;
};
BOOST_DESCRIBE_STRUCT(KeyRecord, (), (mKey, mFingerprint, mNonce))

struct KeyEntry
{
  KeyRecord mRecord;
  std::uint64_t mSequence = 0;
  TimePoint mSeenAt{ 0 };
  std::optional<KeptAnswer> mAnswer;
};

struct KeySlot
{
  JournalWriter mJournal;
  bool mIsLapsed = false;
  std::map<std::string, KeyEntry> mEntries;
};

struct PendingClaim
{
  KeyClaim mClaim;
  std::string mSlot;
  std::uint64_t mSequence = 0;
  TimePoint mDeadline{ 0 };
};

struct KeyReply
{
  std::uint64_t mTicket = 0;
  KeyAnswer mAnswer;
};

/// State of one router's part in the key slots.
struct KeysState
{
  OwnershipState mOwnership;
  std::map<std::string, KeySlot> mSlots;
  std::map<std::uint64_t, PendingClaim> mPending;
  std::vector<KeyReply> mReplies;
  std::uint64_t mNextTicket = 1;
  StoreOutbox mStore;
};

KeysState MakeKeys(const Member& aSelf);

/// Slot that the key belongs to.
std::string SlotOfKey(const std::string& aKey);

/// Address of the router that owns the key's slot; empty if not known.
std::string AddressOfSlot(const KeysState& aState, const std::string& aSlot);

/// Asks this process, as the owner, for the right to send. The answer
/// appears under the ticket.
std::uint64_t ClaimKey(KeysState& aState, KeyClaim aClaim, TimePoint aNow);

/// Notes the answer of a request whose key was granted.
void NoteKeyResult(KeysState& aState, const KeyResult& aResult);

void TickKeys(KeysState& aState, TimePoint aNow);

void OnKeysStoreReply(KeysState& aState,
                      const std::string& aRoute,
                      std::uint64_t aCall,
                      const StoreReply& aReply,
                      TimePoint aNow);

/// Gives the slots up; the next owners read their journals.
void LeaveKeys(KeysState& aState);

} // namespace verbenacroft
