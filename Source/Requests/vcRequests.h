#pragma once

/// Public header of the Requests library: at-most-once execution of requests
/// with an Idempotency-Key header. A key is hashed to a slot. Each slot is
/// owned by one router, which may be in any data centre. The owner writes the
/// key to the journal of the slot before the request may be sent.

#include "vcJournal.h"
#include "vcOwnership.h"

namespace verbenacroft {

/// Number of key slots in all data centres together.
constexpr std::uint64_t kKeySlotCount = 16;

/// Minimum time for which a key is kept after it was claimed or, by a new owner
/// of the slot, read from the journal.
constexpr Duration kKeyRetention{ 600'000 };

/// Maximum size of the body of a stored answer, in bytes. A larger answer is
/// not stored, so a repeated request gets an error instead of the answer.
constexpr std::size_t kMaxStoredAnswerBytes = 4'096;

/// Claim of a router for the exclusive right to send a request with an
/// idempotency key.
struct KeyClaim
{
  /// Hash of the service and the idempotency key.
  std::string mKey;
  /// Hash of method, path and body.
  std::string mFingerprint;
  /// Unique for each request that a router receives. The router may repeat the
  /// claim with the same nonce without it being taken for a duplicate.
  std::string mNonce;
};
BOOST_DESCRIBE_STRUCT(KeyClaim, (), (mKey, mFingerprint, mNonce))

/// Result of a claim.
enum class KeyVerdict
{
  /// The claiming router, and no other, may send the request.
  kGranted,
  /// The key was claimed before by a request with the same fingerprint, which
  /// may have been sent. Its answer is included if it is stored.
  kDuplicate,
  /// The key was used for a request with a different fingerprint.
  kMismatch,
  /// The owner cannot be reached or cannot serve claims, or it is not known
  /// whether the key was claimed. The request must not be sent.
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
  /// Stored answer; only for a duplicate whose answer is stored.
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
  /// Sequence number of the record in the journal; 0 after a replay.
  std::uint64_t mSequence = 0;
  /// Time when the key was claimed or was read from the journal.
  TimePoint mRecordedAt{ 0 };
  /// Held in memory only, so it is lost when the slot changes its owner.
  std::optional<StoredAnswer> mAnswer;
  /// The claim was answered "unavailable", so its request has not run. A later
  /// claim with the same fingerprint takes the key.
  bool mIsRefused = false;
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
  /// Sequence number of the record in the journal of the slot.
  std::uint64_t mSequence = 0;
  /// Time from which the claim is answered "unavailable".
  TimePoint mDeadline{ 0 };
};

/// Answer to a claim that was made with ClaimKey().
struct KeyReply
{
  /// Number that ClaimKey() returned.
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

/// A claim whose key is not journaled within this time is answered
/// "unavailable".
constexpr Duration kClaimWriteTimeout{ 1'000 };

/// Claims a key from this router as the owner of the slot. Returns the ticket
/// under which the answer appears in `mReplies`. If this router does not own
/// the slot or has not read its journal yet, the answer is `kUnavailable`, as
/// it is if the key is not journaled within `aMaxWait`.
std::uint64_t ClaimKey(IdempotencyState& aState,
                       KeyClaim aClaim,
                       TimePoint aNow,
                       Duration aMaxWait = kClaimWriteTimeout);

/// Stores the answer to a request whose key was granted, if it is small enough
/// and its nonce is that of the claim.
void RecordKeyResult(IdempotencyState& aState, const KeyResult& aResult);

/// Renews the ownership of the slots, writes their journals and answers pending
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
