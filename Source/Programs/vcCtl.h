#pragma once

/// Commands of verbenactl.

#include <string>
#include <vector>

namespace verbenacroft {

struct CtlOptions
{
  std::vector<std::string> mAddresses;
  std::string mToken;
  std::string mAuthor;
  bool mIsWaiting = false;
  bool mIsJson = false;
};

/// Runs the command given by `aWords`.
/// @return the exit code.
int RunCtl(const CtlOptions& aOptions, const std::vector<std::string>& aWords);

} // namespace verbenacroft
