#pragma once

/// Changes of the configuration: edits of single objects against the
/// revision that the operator saw.

#include "vcConfigModel.h"

namespace verbenacroft {

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

/// One object set or, with a null value, removed.
struct ConfigEdit
{
  ObjectKind mKind = ObjectKind::kService;
  std::string mName;
  /// Revision of the object that the edit is based on; 0 for a new object.
  std::uint64_t mBase = 0;
  boost::json::value mValue;
};
BOOST_DESCRIBE_STRUCT(ConfigEdit, (), (mKind, mName, mBase, mValue))

/// Edits that go in together or not at all.
struct ConfigChange
{
  /// Unique name of the change; a repeat of it is not applied again.
  std::string mChange;
  std::string mAuthor;
  std::vector<ConfigEdit> mEdits;
};
BOOST_DESCRIBE_STRUCT(ConfigChange, (), (mChange, mAuthor, mEdits))

struct ConfigConflict
{
  ObjectKind mKind = ObjectKind::kService;
  std::string mName;
  std::uint64_t mBase = 0;
  std::uint64_t mCurrent = 0;
};
BOOST_DESCRIBE_STRUCT(ConfigConflict, (), (mKind, mName, mBase, mCurrent))

enum class ChangeStatus
{
  kAccepted,
  kConflict,
  kInvalid,
  kUnavailable,
  /// The change may still take effect; ask again with the same name.
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

struct ChangeOutcome
{
  ChangeStatus mStatus = ChangeStatus::kAccepted;
  std::uint64_t mRevision = 0;
  std::vector<ConfigConflict> mConflicts;
  Faults mFaults;
};
BOOST_DESCRIBE_STRUCT(ChangeOutcome,
                      (),
                      (mStatus, mRevision, mConflicts, mFaults))

/// Edits that turn `aFrom` into `aTo`. An object of `aTo` that carries a
/// revision is edited against that revision, else against that of `aFrom`.
std::vector<ConfigEdit> DiffConfigurations(const Configuration& aFrom,
                                           const Configuration& aTo);

/// Conflicts of the edits with the revisions in `aConfiguration`.
std::vector<ConfigConflict> FindConflicts(
  const Configuration& aConfiguration,
  const std::vector<ConfigEdit>& aEdits);

/// Applies the edits and stamps them with `aRevision`.
void ApplyEdits(Configuration& aConfiguration,
                const std::vector<ConfigEdit>& aEdits,
                std::uint64_t aRevision,
                Faults& aFaults);

/// Names of changes that were applied, newest last, with their revisions.
struct RecentChange
{
  std::string mChange;
  std::uint64_t mRevision = 0;
};
BOOST_DESCRIBE_STRUCT(RecentChange, (), (mChange, mRevision))

/// The configuration with what recognises a repeated change.
struct ConfigStateRecord
{
  Configuration mConfiguration;
  std::vector<RecentChange> mRecent;
};
BOOST_DESCRIBE_STRUCT(ConfigStateRecord, (), (mConfiguration, mRecent))

/// Applies the changes of one journal entry. A change that is recorded
/// already, or that no longer fits, is passed over.
void ApplyChanges(ConfigStateRecord& aState,
                  const std::vector<boost::json::value>& aRecords,
                  std::uint64_t aRevision);

/// Revision at which the change was applied, or 0.
std::uint64_t FindRecent(const ConfigStateRecord& aState,
                         const std::string& aChange);

} // namespace verbenacroft
