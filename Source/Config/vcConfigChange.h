#pragma once

/// Changes of the configuration. A change consists of edits of single objects,
/// each based on a revision of its object, so that concurrent changes of the
/// same object are detected as conflicts.

#include "vcConfigModel.h"

namespace verbenacroft {

/// Kind of a configuration object.
enum class ObjectKind
{
  kBacker,
  kDataCentre,
  kService,
  kPolicy,
};

template<>
struct EnumTable<ObjectKind>
{
  static constexpr auto kRows = std::to_array<NameRow<ObjectKind>>({
    { ObjectKind::kBacker, "backer" },
    { ObjectKind::kDataCentre, "data-centre" },
    { ObjectKind::kService, "service" },
    { ObjectKind::kPolicy, "policy" },
  });
};

/// Sets one object or, if the value is null, removes it.
struct ConfigEdit
{
  ObjectKind mKind = ObjectKind::kService;
  std::string mName;
  /// Revision of the object that the edit is based on; 0 for a new object.
  std::uint64_t mBase = 0;
  /// New object as JSON, or null.
  boost::json::value mValue;
};
BOOST_DESCRIBE_STRUCT(ConfigEdit, (), (mKind, mName, mBase, mValue))

/// Edits that are applied atomically.
struct ConfigChange
{
  /// Unique name of the change; a repeated change with the same name is not
  /// applied again.
  std::string mChange;
  /// Operator who submitted the change.
  std::string mAuthor;
  std::vector<ConfigEdit> mEdits;
};
BOOST_DESCRIBE_STRUCT(ConfigChange, (), (mChange, mAuthor, mEdits))

/// An edit whose base is not the current revision of its object.
struct ConfigConflict
{
  ObjectKind mKind = ObjectKind::kService;
  std::string mName;
  /// Revision that the edit is based on.
  std::uint64_t mBase = 0;
  /// Current revision of the object; 0 if it does not exist.
  std::uint64_t mCurrent = 0;
};
BOOST_DESCRIBE_STRUCT(ConfigConflict, (), (mKind, mName, mBase, mCurrent))

/// Result of a submitted change.
enum class ChangeStatus
{
  /// The change is in the journal.
  kAccepted,
  /// An edit is not based on the current revision of its object.
  kConflict,
  /// The change is malformed, or the changed configuration fails the checks.
  kInvalid,
  /// The deadline passed before the change was part of a write.
  kUnavailable,
  /// The deadline passed after the change was part of a write, so it may still
  /// take effect. The operator submits it again under the same name to learn
  /// the outcome.
  kUnknown,
};

template<>
struct EnumTable<ChangeStatus>
{
  static constexpr auto kRows = std::to_array<NameRow<ChangeStatus>>({
    { ChangeStatus::kAccepted, "accepted" },
    { ChangeStatus::kConflict, "conflict" },
    { ChangeStatus::kInvalid, "invalid" },
    { ChangeStatus::kUnavailable, "unavailable" },
    { ChangeStatus::kUnknown, "unknown" },
  });
};

/// Reply to a submitted change.
struct ChangeOutcome
{
  ChangeStatus mStatus = ChangeStatus::kAccepted;
  /// Revision of the configuration at which the change was applied, or 0.
  std::uint64_t mRevision = 0;
  std::vector<ConfigConflict> mConflicts;
  Faults mFaults;
};
BOOST_DESCRIBE_STRUCT(ChangeOutcome,
                      (),
                      (mStatus, mRevision, mConflicts, mFaults))

/// Returns the edits that turn `aFrom` into `aTo`. The edit of an object is
/// based on the revision given in `aTo` or, if that is 0, on the revision in
/// `aFrom`.
std::vector<ConfigEdit> DiffConfigurations(const Configuration& aFrom,
                                           const Configuration& aTo);

/// Returns the edits whose base differs from the object's revision in
/// `aConfiguration`.
std::vector<ConfigConflict> FindConflicts(
  const Configuration& aConfiguration,
  const std::vector<ConfigEdit>& aEdits);

/// Applies the edits and sets the revision of the edited objects to
/// `aRevision`. Adds a fault for each value that cannot be decoded or whose
/// name differs from the edit's.
void ApplyEdits(Configuration& aConfiguration,
                const std::vector<ConfigEdit>& aEdits,
                std::uint64_t aRevision,
                Faults& aFaults);

/// Name of an applied change and the revision at which it was applied.
struct RecentChange
{
  std::string mChange;
  std::uint64_t mRevision = 0;
};
BOOST_DESCRIBE_STRUCT(RecentChange, (), (mChange, mRevision))

/// The configuration and the recent changes, by which repeated changes are
/// recognised.
struct ConfigStateRecord
{
  Configuration mConfiguration;
  /// Applied changes, newest last; limited to the latest 512.
  std::vector<RecentChange> mRecent;
};
BOOST_DESCRIBE_STRUCT(ConfigStateRecord, (), (mConfiguration, mRecent))

/// Applies the changes of the journal entry with the index `aRevision`. Changes
/// that have already been applied, and records that cannot be decoded, are
/// skipped.
void ApplyChanges(ConfigStateRecord& aState,
                  const std::vector<boost::json::value>& aRecords,
                  std::uint64_t aRevision);

/// Returns the revision at which the recent change `aChange` was applied, or 0
/// if it is unknown.
std::uint64_t FindChangeRevision(const ConfigStateRecord& aState,
                                 const std::string& aChange);

} // namespace verbenacroft
