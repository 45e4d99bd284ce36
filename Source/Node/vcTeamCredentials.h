#pragma once

/// Authentication of callers by the keys of their teams. Keys appear in no log
/// line, metric or response.

#include "vcFleetConfig.h"

#include <cstdint>
#include <unordered_map>

namespace verbenacroft {

/// The keys of all teams of one version of the configuration.
struct TeamCredentials
{
  struct Row
  {
    std::string mKey;
    std::string mTeam;
  };
  /// By the hash of the key.
  std::unordered_multimap<std::uint64_t, Row> mRows;
  /// The deployment has teams; without any, no request needs a key.
  bool mAreRequired = false;
};

/// The credentials of a configuration's teams.
TeamCredentials MakeTeamCredentials(const std::vector<TeamConfig>& aTeams);

/// The team that a key belongs to, or nothing if no team has it.
std::optional<std::string> FindTeam(const TeamCredentials& aCredentials,
                                    std::string_view aKey);

/// Outcome of the authentication of a request.
enum class AuthOutcome
{
  /// The request may be handled, for the team that is named, if any.
  kAccepted,
  /// No version that is in force has the key.
  kUnauthorized,
  /// The key can't be judged, since a newer version may have changed it.
  kUncertain,
};

/// How far a node's view of the configuration can be relied on.
struct ConfigView
{
  /// It was current lately enough to say that a key doesn't exist.
  bool mIsCurrent = false;
  /// It was current lately enough to accept a key. Always true unless keys are
  /// revoked strictly.
  bool mMayAccept = true;
};

/// Result of the authentication of a request.
struct AuthResult
{
  AuthOutcome mOutcome = AuthOutcome::kAccepted;
  /// Team of the caller; empty if the request has none.
  std::string mTeam;
};

/// Authenticates a request.
/// @param aIsOpen the queue accepts requests without a key
AuthResult Authenticate(const TeamCredentials& aCredentials,
                        std::string_view aKey,
                        bool aIsOpen,
                        const ConfigView& aView);

} // namespace verbenacroft
