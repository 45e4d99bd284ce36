#include "vcConfigChange.h"

#include <algorithm>

namespace verbenacroft {

namespace {

constexpr std::size_t kMaxRecentChanges = 512;

template<class Function>
auto VisitObjects(Configuration& aConfiguration,
                  ObjectKind aKind,
                  Function aFunction)
{
  switch (aKind) {
    case ObjectKind::kBacker:
      return aFunction(aConfiguration.mBackers);
    case ObjectKind::kDataCentre:
      return aFunction(aConfiguration.mDataCentres);
    case ObjectKind::kService:
      return aFunction(aConfiguration.mServices);
    default:
      return aFunction(aConfiguration.mPolicies);
  }
}

std::uint64_t ObjectRevision(const Configuration& aConfiguration,
                             ObjectKind aKind,
                             const std::string& aName)
{
  auto& configuration = const_cast<Configuration&>(aConfiguration);
  return VisitObjects(configuration, aKind, [&](const auto& aObjects) {
    const auto* found = FindNamed(aObjects, aName);
    return found == nullptr ? std::uint64_t{ 0 } : found->mRevision;
  });
}

template<class Object>
boost::json::value WithoutRevision(Object aObject)
{
  aObject.mRevision = 0;
  return EncodeValue(aObject);
}

template<class Object>
void DiffObjects(ObjectKind aKind,
                 const std::vector<Object>& aFrom,
                 const std::vector<Object>& aTo,
                 std::vector<ConfigEdit>& aEdits)
{
  for (const auto& object : aTo) {
    const auto* old = FindNamed(aFrom, object.mName);
    auto value = WithoutRevision(object);
    if (old != nullptr && WithoutRevision(*old) == value) {
      continue;
    }
    std::uint64_t base = object.mRevision;
    if (base == 0 && old != nullptr) {
      base = old->mRevision;
    }
    aEdits.push_back({ aKind, object.mName, base, std::move(value) });
  }
  for (const auto& object : aFrom) {
    if (FindNamed(aTo, object.mName) == nullptr) {
      aEdits.push_back({ aKind, object.mName, object.mRevision, nullptr });
    }
  }
}

template<class Object>
void ApplyEdit(std::vector<Object>& aObjects,
               const ConfigEdit& aEdit,
               std::uint64_t aRevision,
               Faults& aFaults)
{
  const auto found =
    std::find_if(aObjects.begin(), aObjects.end(), [&](const Object& aObject) {
      return aObject.mName == aEdit.mName;
    });
  if (aEdit.mValue.is_null()) {
    if (found != aObjects.end()) {
      aObjects.erase(found);
    }
    return;
  }
  Object object;
  const std::string path =
    "$." + std::string(NameOf(aEdit.mKind)) + "[" + aEdit.mName + "]";
  DecodeInto(aEdit.mValue, path, object, aFaults);
  if (object.mName != aEdit.mName) {
    aFaults.push_back({ path + ".name",
                        "\"" + object.mName + "\"",
                        "the edited name \"" + aEdit.mName + "\"" });
  }
  object.mRevision = aRevision;
  if (found != aObjects.end()) {
    *found = std::move(object);
  } else {
    aObjects.push_back(std::move(object));
  }
}

} // namespace

std::vector<ConfigEdit> DiffConfigurations(const Configuration& aFrom,
                                           const Configuration& aTo)
{
  std::vector<ConfigEdit> edits;
  DiffObjects(ObjectKind::kBacker, aFrom.mBackers, aTo.mBackers, edits);
  DiffObjects(
    ObjectKind::kDataCentre, aFrom.mDataCentres, aTo.mDataCentres, edits);
  DiffObjects(ObjectKind::kService, aFrom.mServices, aTo.mServices, edits);
  DiffObjects(ObjectKind::kPolicy, aFrom.mPolicies, aTo.mPolicies, edits);
  return edits;
}

std::vector<ConfigConflict> FindConflicts(const Configuration& aConfiguration,
                                          const std::vector<ConfigEdit>& aEdits)
{
  std::vector<ConfigConflict> conflicts;
  for (const auto& edit : aEdits) {
    const auto current = ObjectRevision(aConfiguration, edit.mKind, edit.mName);
    if (current != edit.mBase) {
      conflicts.push_back({ edit.mKind, edit.mName, edit.mBase, current });
    }
  }
  return conflicts;
}

void ApplyEdits(Configuration& aConfiguration,
                const std::vector<ConfigEdit>& aEdits,
                std::uint64_t aRevision,
                Faults& aFaults)
{
  for (const auto& edit : aEdits) {
    VisitObjects(aConfiguration, edit.mKind, [&](auto& aObjects) {
      ApplyEdit(aObjects, edit, aRevision, aFaults);
    });
  }
}

std::uint64_t FindChangeRevision(const ConfigStateRecord& aState,
                                 const std::string& aChange)
{
  for (const auto& recent : aState.mRecent) {
    if (recent.mChange == aChange) {
      return recent.mRevision;
    }
  }
  return 0;
}

void ApplyChanges(ConfigStateRecord& aState,
                  const std::vector<boost::json::value>& aRecords,
                  std::uint64_t aRevision)
{
  for (const auto& record : aRecords) {
    Faults faults;
    ConfigChange change;
    DecodeInto(record, "$", change, faults);
    if (!faults.empty() || FindChangeRevision(aState, change.mChange) != 0) {
      continue;
    }
    ApplyEdits(aState.mConfiguration, change.mEdits, aRevision, faults);
    aState.mRecent.push_back({ change.mChange, aRevision });
  }
  if (aState.mRecent.size() > kMaxRecentChanges) {
    const auto excess = aState.mRecent.size() - kMaxRecentChanges;
    aState.mRecent.erase(aState.mRecent.begin(),
                         aState.mRecent.begin() +
                           static_cast<std::ptrdiff_t>(excess));
  }
  aState.mConfiguration.mRevision = aRevision;
}

} // namespace verbenacroft
