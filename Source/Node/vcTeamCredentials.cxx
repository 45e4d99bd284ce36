#include "vcTeamCredentials.h"

#include "vcFoundation.h"

namespace verbenacroft {

TeamCredentials MakeTeamCredentials(const std::vector<TeamConfig>& aTeams)
{
  TeamCredentials credentials;
  credentials.mAreRequired = !aTeams.empty();
  for (const auto& team : aTeams) {
    for (const auto& key : team.mKeys) {
      credentials.mRows.emplace(StableHash(key),
                                TeamCredentials::Row{ key, team.mName });
    }
  }
  return credentials;
}

std::optional<std::string> FindTeam(const TeamCredentials& aCredentials,
                                    std::string_view aKey)
{
  const auto [begin, end] = aCredentials.mRows.equal_range(StableHash(aKey));
  for (auto row = begin; row != end; ++row) {
    if (SecretsEqual(row->second.mKey, aKey)) {
      return row->second.mTeam;
    }
  }
  return std::nullopt;
}

AuthResult Authenticate(const TeamCredentials& aCredentials,
                        std::string_view aKey,
                        bool aIsOpen,
                        const ConfigView& aView)
{
  const auto team = aKey.empty() ? std::nullopt : FindTeam(aCredentials, aKey);
  if (!aCredentials.mAreRequired || aIsOpen) {
    return { AuthOutcome::kAccepted, team.value_or("") };
  }
  if (team && aView.mMayAccept) {
    return { AuthOutcome::kAccepted, *team };
  }
  const bool isUnknown = !team && aView.mIsCurrent;
  return { isUnknown ? AuthOutcome::kUnauthorized : AuthOutcome::kUncertain,
           "" };
}

} // namespace verbenacroft
