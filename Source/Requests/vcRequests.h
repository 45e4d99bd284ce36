#pragma once

/// Public header of the Requests library: at-most-once execution of requests
/// with an Idempotency-Key header. A key is hashed to a slot. Each slot is
/// owned by one of the routers of all data centres, which writes the key to its
/// journal before the request may be sent.

#include "vcJournal.h"
#include "vcOwnership.h"

namespace verbenacroft {

/// Number of key slots in all data centres together.
constexpr std::uint64_t kKeySlotCount = 16;

/// Minimum time for which a key is kept.
constexpr Duration kKeyRetention{ 600'000 };

/// Maximum size of the body of a stored answer, in bytes. A larger answer is
/// not stored, so a repeated request gets none.
constexpr std::size_t kMaxStoredAnswerBytes = 4'096;

/// Request of a router for the exclusive right to send a request.
struct KeyClaim
{
  /// Hash of the service and the idempotency key.
  std::string mKey;
  /// Hash of method, path and body.
  std::string mFingerprint;
  /// Identifies the attempt, so that the same claim may be sent again without
  /// being taken for a duplicate.
  std::string mNonce;
};
BOOST_DESCRIBE_STRUCT(KeyClaim, (), (mKey, mFingerprint, mNonce))

/// Result of a claim.
enum class KeyVerdict
{
  /// The claiming router, and no other, may send the request.
  kGranted,
  /// The request was granted to another attempt; its answer may be stored.
  kDuplicate,
  /// The key was used for a request with a different fingerprint.
  kMismatch,
  /// The key was not claimed, or whether it was is not known. The request must
  /// not be sent.
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

/// Answer to a request, stored to be returned to a repeated request.
struct StoredAnswer
{
  std::int64_t mStatus = 0;
  std::string mContentType;
  std::string mBody;
};
BOOST_DESCRIBE_STRUCT(StoredAnswer, (), (mStatus, mContentType, mBody))

/// Answer to a claim.
struct KeyAnswer
{
  KeyVerdict mVerdict = KeyVerdict::kUnavailable;
  /// Only for a duplicate, and only if it was stored.
  std::optional<StoredAnswer> mAnswer;
};
BOOST_DESCRIBE_STRUCT(KeyAnswer, (), (mVerdict, mAnswer))

/// Reports the answer to a granted request to the owner of the key.
struct KeyResult
{
  std::string mKey;
  std::string mNonce;
  StoredAnswer mAnswer;
};
BOOST_DESCRIBE_STRUCT(KeyResult, (), (mKey, mNonce, mAnswer))

/// Journal record of a claimed key.
struct KeyRecord
{
  std::string mKey;
  std::string mFingerprint;
  std::string mNonce;
};
BOOST_DESCRIBE_STRUCT(KeyRecord, (), (mKey, mFingerprint, mNonce))

/// A claimed key.
struct KeyEntry
{
  KeyRecord mRecord;
  /// Sequence number of the record in the journal.
  std::uint64_t mSequence = 0;
  /// Time of the claim, or of the reading of the journal.
  TimePoint mRecordedAt{ 0 };
  std::optional<StoredAnswer> mAnswer;
};

/// A slot that this router owns.
struct KeySlot
{
  JournalWriter mJournal;
  /// True once the ownership lease of the slot has expired.
  bool mIsLeaseExpired = false;
  /// By the hash of the key.
  std::map<std::string, KeyEntry> mEntries;
};

/// A claim whose key is not yet durable in the journal.
struct PendingClaim
{
  KeyClaim mClaim;
  std::string mSlot;
  std::uint64_t mSequence = 0;
  TimePoint mDeadline{ 0 };
};

/// Answer to the claim with the given ticket.
struct KeyReply
{
  std::uint64_t mTicket = 0;
  KeyAnswer mAnswer;
};

/// Key slots of one router, and what it knows of the owners of the others.
struct IdempotencyState
{
  OwnershipState mOwnership;
  std::map<std::string, KeySlot> mSlots;
  /// By ticket.
  std::map<std::uint64_t, PendingClaim> mPending;
  /// Answers that the caller has to take and deliver.
  std::vector<KeyReply> mReplies;
  std::uint64_t mNextTicket = 1;
  /// Calls that the caller has to send to the store.
  StoreOutbox mStore;
};

/// Returns the initial state of the router `aSelf`, which owns no slots.
IdempotencyState MakeIdempotencyState(const Member& aSelf);

/// Returns the name of the slot that the key belongs to.
/// @param aKey Hash of the key, as in KeyClaim.
std::string FindKeySlot(const std::string& aKey);

/// Returns the peer address of the router that owns the slot, or an empty
/// string if the owner is not known.
std::string FindSlotOwnerAddress(const IdempotencyState& aState,
                                 const std::string& aSlot);

/// Claims a key from this router as the owner of the slot. Returns the ticket
/// under which the answer appears in the replies. If this router cannot use the
/// slot, the answer is `kUnavailable`.
std::uint64_t ClaimKey(IdempotencyState& aState,
                       KeyClaim aClaim,
                       TimePoint aNow);

/// Stores the answer to a request whose key was granted, if it is small enough
/// and comes from the attempt that holds the key.
void RecordKeyResult(IdempotencyState& aState, const KeyResult& aResult);

/// Renews the ownership of the slots, writes their journals and finishes
/// claims. Must be called regularly.
void TickIdempotency(IdempotencyState& aState, TimePoint aNow);

/// Handles the reply to a call of the store.
/// @param aRoute Route of the call, which names the ownership or the journal of
/// a slot.
void OnIdempotencyStoreReply(IdempotencyState& aState,
                             const std::string& aRoute,
                             std::uint64_t aCall,
                             const StoreReply& aReply,
                             TimePoint aNow);

/// Releases all slots and marks this router as leaving. The next owners read
/// the journals of the slots.
void ReleaseKeySlots(IdempotencyState& aState);

} // namespace verbenacroft
