/// Main program of verbenactl, the operators' command-line tool: parses the
/// options and runs the command.

#include "vcCtl.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

namespace {

/// Text that follows the list of options in the help.
constexpr const char* kCommands =
  "Commands:\n"
  "  check FILE            check a configuration; nothing is changed\n"
  "  diff FILE             show what applying FILE would change\n"
  "  apply FILE            apply FILE; --wait until it is in force\n"
  "  get                   print the configuration in force\n"
  "  status                processes, shards and tasks\n"
  "  drain DATACENTRE      drain a data centre; waits until it is empty\n"
  "  restore DATACENTRE    return a data centre to service\n"
  "  job submit FILE       submit a job\n"
  "  job show NAME         state of a job\n"
  "  job cancel NAME       cancel a job\n"
  "Exit codes: 0 done, 1 failed or nothing was done, 2 bad usage or input,\n"
  "  3 conflict, 4 the outcome is not known; the command may be repeated.\n";

} // namespace

int main(int aCount, char** aArguments)
{
  using namespace verbenacroft;
  cxxopts::Options options("verbenactl", "Operates verbenacroft.");
  auto add = options.add_options();
  add("address",
      "operators' address of a config process; may be repeated",
      cxxopts::value<std::vector<std::string>>());
  add("token",
      "operators' token; default: value of VERBENACROFT_TOKEN",
      cxxopts::value<std::string>()->default_value(""));
  add("author",
      "name to record with changes",
      cxxopts::value<std::string>()->default_value("operator"));
  add("wait", "wait until every process has the change in force");
  add("json", "print JSON");
  add("version", "print the version and exit");
  add("help", "print this help and exit");
  add("words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "words" });
  options.positional_help("COMMAND ...");
  try {
    const auto parsed = options.parse(aCount, aArguments);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n" << kCommands;
      return 0;
    }
    if (parsed.count("version") > 0) {
      std::cout << "verbenactl 0.1.0\n";
      return 0;
    }
    if (parsed.count("address") == 0 || parsed.count("words") == 0) {
      std::cerr << "verbenactl: --address and a command are required; "
                   "see --help\n";
      return 2;
    }
    CtlOptions ctl;
    ctl.mAddresses = parsed["address"].as<std::vector<std::string>>();
    ctl.mToken = parsed["token"].as<std::string>();
    const char* environmentToken = std::getenv("VERBENACROFT_TOKEN");
    if (ctl.mToken.empty() && environmentToken != nullptr) {
      ctl.mToken = environmentToken;
    }
    ctl.mAuthor = parsed["author"].as<std::string>();
    ctl.mIsWaiting = parsed.count("wait") > 0;
    ctl.mIsJson = parsed.count("json") > 0;
    return RunCtl(ctl, parsed["words"].as<std::vector<std::string>>());
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "verbenactl: " << error.what() << "; see --help\n";
    return 2;
  }
}
