#pragma once

/// Commands of verbenactl, the operators' command-line tool.

#include <string>
#include <vector>

namespace verbenacroft {

/// Options of the command line that apply to all commands.
struct CtlOptions
{
  /// Operators' addresses of config processes, tried in order.
  std::vector<std::string> mAddresses;
  /// Secret that authenticates the operator.
  std::string mToken;
  /// Name to record with changes.
  std::string mAuthor;
  /// True if `apply` waits until the change is in force.
  bool mIsWaiting = false;
  /// True if results are printed as JSON.
  bool mIsJson = false;
};

/// Runs a command. `aArguments` holds its name followed by its arguments and
/// must not be empty. Errors are printed to the standard error.
/// @return the exit code.
int RunCtl(const CtlOptions& aOptions,
           const std::vector<std::string>& aArguments);

} // namespace verbenacroft
