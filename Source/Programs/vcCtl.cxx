/// Commands of verbenactl. Each sends HTTP requests to the operators' interface
/// of a config process and prints the reply.

#include "vcCtl.h"

#include "vcOverview.h"
#include "vcShell.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iostream>
#include <random>

namespace verbenacroft {

namespace {

/// Exit codes of verbenactl; listed in its help text.
enum class CtlExit : int
{
  kOk = 0,
  /// The command failed or changed nothing.
  kFailed = 1,
  /// Wrong usage, or the input is invalid.
  kBadInput = 2,
  /// The change or job conflicts with the current state.
  kConflict = 3,
  /// The command may have taken effect or may still do so.
  kUnknown = 4,
};

/// Time limit of one HTTP request, in milliseconds.
constexpr Duration kCallTimeout{ 8'000 };
/// Time between two status requests while waiting, in milliseconds.
constexpr Duration kPollInterval{ 200 };
/// Maximum time to wait for a drain to end or for a change to be in force, in
/// milliseconds.
constexpr Duration kMaxWait{ 60'000 };

/// Client of the operators' interface. Tries the addresses of the config
/// processes in order until one replies.
class CtlClient
{
public:
  explicit CtlClient(const CtlOptions& aOptions)
    : mOptions(aOptions)
  {
  }

  /// Sends a request and waits for the reply.
  /// @return the reply, or the error of the last address if none replied.
  HttpResult Call(const std::string& aMethod,
                  const std::string& aTarget,
                  const std::string& aBody = {})
  {
    HttpResult result;
    result.mError = MakeError(HttpErrc::kNotConnected);
    for (const auto& address : this->mOptions.mAddresses) {
      result = this->CallOne(address, aMethod, aTarget, aBody);
      if (!result.mError) {
        break;
      }
    }
    return result;
  }

private:
  /// Sends a request to one address; an address that cannot be parsed yields
  /// `HttpErrc::kNotConnected`.
  HttpResult CallOne(const std::string& aAddress,
                     const std::string& aMethod,
                     const std::string& aTarget,
                     const std::string& aBody)
  {
    HttpResult result;
    const auto endpoint = ParseEndpoint(aAddress);
    if (!endpoint) {
      result.mError = MakeError(HttpErrc::kNotConnected);
      return result;
    }
    asio::io_context context;
    HttpClient http(context);
    const auto run = [&]() -> asio::awaitable<void> {
      HttpRequest request =
        PeerRequest(aMethod, aTarget, this->mOptions.mToken, aBody);
      HttpCallOptions options;
      options.mTimeout = kCallTimeout;
      result =
        co_await http.Call(*endpoint, std::move(request), std::move(options));
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();
    return result;
  }

  const CtlOptions& mOptions;
};

int ExitCode(CtlExit aExit)
{
  return static_cast<int>(aExit);
}

/// Prints an error message.
/// @return the exit code of `aExit`.
int Fail(const std::string& aText, CtlExit aExit = CtlExit::kFailed)
{
  std::cerr << "verbenactl: " << aText << "\n";
  return ExitCode(aExit);
}

/// Blocks for `kPollInterval`.
void SleepPollInterval()
{
  asio::io_context context;
  asio::steady_timer timer(context, kPollInterval);
  timer.wait();
}

/// Decodes the body of a reply. If there is no reply or its body is not an
/// `Answer`, prints the reason and returns nothing.
template<class Answer>
std::optional<Answer> DecodeReply(const HttpResult& aResult)
{
  if (aResult.mError) {
    Fail("no answer: " + aResult.mError.message());
    return std::nullopt;
  }
  auto answer = TryDecode<Answer>(aResult.mResponse.mBody);
  if (!answer) {
    Fail(fmt::format("unexpected reply with status {}: {}",
                     aResult.mResponse.mStatus,
                     aResult.mResponse.mBody));
  }
  return answer;
}

/// Makes a unique id for a change: the author and 64 random bits.
std::string NewChangeId(const std::string& aAuthor)
{
  std::random_device device;
  const std::uint64_t number =
    (static_cast<std::uint64_t>(device()) << 32) | device();
  return fmt::format("{}-{:016x}", aAuthor, number);
}

/// Reads a configuration file; prints the faults and returns nothing if it is
/// invalid.
std::optional<Configuration> LoadConfiguration(const std::string& aPath)
{
  Faults faults;
  auto configuration = LoadSettings<Configuration>(aPath, faults);
  if (!faults.empty()) {
    PrintFaults(aPath, faults);
    return std::nullopt;
  }
  return configuration;
}

/// Prints the faults and conflicts of a change; `aSubject` is the file or
/// object that the messages start with.
/// @return the exit code.
int PrintOutcome(const CtlOptions& aOptions,
                 const std::string& aSubject,
                 const ChangeOutcome& aOutcome)
{
  if (aOptions.mIsJson) {
    std::cout << Encode(aOutcome) << "\n";
  }
  PrintFaults(aSubject, aOutcome.mFaults);
  for (const auto& conflict : aOutcome.mConflicts) {
    std::cerr << fmt::format(
      "{}: conflict: {} {} was based on revision {} and is at revision {}\n",
      aSubject,
      NameOf(conflict.mKind),
      conflict.mName,
      conflict.mBase,
      conflict.mCurrent);
  }
  switch (aOutcome.mStatus) {
    case ChangeStatus::kAccepted:
      return ExitCode(CtlExit::kOk);
    case ChangeStatus::kInvalid:
      return ExitCode(CtlExit::kBadInput);
    case ChangeStatus::kConflict:
      return ExitCode(CtlExit::kConflict);
    case ChangeStatus::kUnknown:
      return Fail("the change may still take effect; run get to check",
                  CtlExit::kUnknown);
    case ChangeStatus::kUnavailable:
      return Fail("the store does not answer; nothing was changed");
  }
  return ExitCode(CtlExit::kFailed);
}

/// Reads the configuration in force. If it cannot be read, prints the reason
/// and returns nothing.
std::optional<Configuration> GetConfiguration(CtlClient& aClient)
{
  return DecodeReply<Configuration>(aClient.Call("GET", "/v1/configuration"));
}

int RunCheck(CtlClient& aClient,
             const CtlOptions& aOptions,
             const std::string& aPath)
{
  const auto configuration = LoadConfiguration(aPath);
  if (!configuration) {
    return ExitCode(CtlExit::kBadInput);
  }
  const auto outcome = DecodeReply<ChangeOutcome>(
    aClient.Call("POST", "/v1/check", Encode(*configuration)));
  if (!outcome) {
    return ExitCode(CtlExit::kFailed);
  }
  const int code = PrintOutcome(aOptions, aPath, *outcome);
  if (code == 0 && !aOptions.mIsJson) {
    std::cout << aPath << ": ok\n";
  }
  return code;
}

void PrintEdits(const std::vector<ConfigEdit>& aEdits)
{
  for (const auto& edit : aEdits) {
    const char* verb = "change";
    if (edit.mValue.is_null()) {
      verb = "remove";
    } else if (edit.mBase == 0) {
      verb = "add";
    }
    std::cout << fmt::format(
      "{:<7} {:<12} {}\n", verb, NameOf(edit.mKind), edit.mName);
  }
  if (aEdits.empty()) {
    std::cout << "no change\n";
  }
}

int RunDiff(CtlClient& aClient,
            const CtlOptions& aOptions,
            const std::string& aPath)
{
  const auto wanted = LoadConfiguration(aPath);
  if (!wanted) {
    return ExitCode(CtlExit::kBadInput);
  }
  const auto current = GetConfiguration(aClient);
  if (!current) {
    return ExitCode(CtlExit::kFailed);
  }
  const auto edits = DiffConfigurations(*current, *wanted);
  if (aOptions.mIsJson) {
    std::cout << Encode(edits) << "\n";
  } else {
    PrintEdits(edits);
  }
  return ExitCode(CtlExit::kOk);
}

/// Waits until every reachable process has at least revision `aRevision` in
/// force. Unreachable processes are ignored.
/// @return the exit code; `kUnknown` after `kMaxWait`.
int WaitForRevision(CtlClient& aClient, std::uint64_t aRevision)
{
  const TimePoint deadline = MonotonicNow() + kMaxWait;
  const TimePoint start = MonotonicNow();
  while (MonotonicNow() < deadline) {
    const auto overview =
      DecodeReply<SystemOverview>(aClient.Call("GET", "/v1/status"));
    const bool isInForce = overview && !overview->mProcesses.empty() &&
                           std::all_of(overview->mProcesses.begin(),
                                       overview->mProcesses.end(),
                                       [&](const ProcessOverview& aProcess) {
                                         return !aProcess.mIsReachable ||
                                                aProcess.mRevision >= aRevision;
                                       });
    if (isInForce) {
      std::cerr << fmt::format("revision {} in force in {} processes after "
                               "{} ms\n",
                               aRevision,
                               overview->mProcesses.size(),
                               (MonotonicNow() - start).count());
      return ExitCode(CtlExit::kOk);
    }
    SleepPollInterval();
  }
  return Fail("the change is accepted but not yet in force everywhere",
              CtlExit::kUnknown);
}

/// Submits a change of the configuration and prints the outcome. Sets
/// `aRevision` to the revision in the reply.
/// @return the exit code; `kUnknown` if no valid reply arrived.
int SubmitChange(CtlClient& aClient,
                 const CtlOptions& aOptions,
                 const std::string& aSubject,
                 std::vector<ConfigEdit> aEdits,
                 std::uint64_t& aRevision)
{
  ConfigChange change;
  change.mChange = NewChangeId(aOptions.mAuthor);
  change.mAuthor = aOptions.mAuthor;
  change.mEdits = std::move(aEdits);
  // The id of the change makes it harmless to send the change again after the
  // reply was lost.
  const auto outcome = DecodeReply<ChangeOutcome>(
    aClient.Call("POST", "/v1/changes", Encode(change)));
  if (!outcome) {
    return ExitCode(CtlExit::kUnknown);
  }
  aRevision = outcome->mRevision;
  return PrintOutcome(aOptions, aSubject, *outcome);
}

int RunApply(CtlClient& aClient,
             const CtlOptions& aOptions,
             const std::string& aPath)
{
  const auto wanted = LoadConfiguration(aPath);
  if (!wanted) {
    return ExitCode(CtlExit::kBadInput);
  }
  const auto current = GetConfiguration(aClient);
  if (!current) {
    return ExitCode(CtlExit::kFailed);
  }
  auto edits = DiffConfigurations(*current, *wanted);
  if (edits.empty()) {
    std::cout << "no change\n";
    return ExitCode(CtlExit::kOk);
  }
  const std::size_t count = edits.size();
  std::uint64_t revision = 0;
  const int code =
    SubmitChange(aClient, aOptions, aPath, std::move(edits), revision);
  if (code != 0) {
    return code;
  }
  std::cout << fmt::format(
    "revision {}: {} objects changed\n", revision, count);
  return aOptions.mIsWaiting ? WaitForRevision(aClient, revision) : code;
}

int RunGet(CtlClient& aClient)
{
  const auto configuration = GetConfiguration(aClient);
  if (!configuration) {
    return ExitCode(CtlExit::kFailed);
  }
  std::cout << Encode(*configuration) << "\n";
  return ExitCode(CtlExit::kOk);
}

void PrintShards(const ProcessOverview& aProcess)
{
  for (const auto& shard : aProcess.mShards) {
    std::cout << fmt::format(
      "  shard {:<14} epoch {:<7} workers {:>4} (out of reach {}, quarantined "
      "{}) services {:>4} batch {:>4} jobs {:>4} unplaced {}{}\n",
      shard.mName,
      shard.mEpoch,
      shard.mWorkers,
      shard.mWorkersOutOfReach,
      shard.mWorkersInQuarantine,
      shard.mServiceTasks,
      shard.mBatchTasks,
      shard.mJobs,
      shard.mUnplacedReplicas,
      shard.mIsLapsed ? " LAPSED" : "");
  }
}

int RunStatus(CtlClient& aClient, const CtlOptions& aOptions)
{
  const auto overview =
    DecodeReply<SystemOverview>(aClient.Call("GET", "/v1/status"));
  if (!overview) {
    return ExitCode(CtlExit::kFailed);
  }
  if (aOptions.mIsJson) {
    std::cout << Encode(*overview) << "\n";
    return ExitCode(CtlExit::kOk);
  }
  std::cout << fmt::format("configuration revision {}, confirmed {} ms ago\n",
                           overview->mRevision,
                           overview->mProofAgeMs);
  for (const auto& process : overview->mProcesses) {
    std::cout << fmt::format("{:<10} {:<10} {:<16} {}\n",
                             process.mDataCentre,
                             NameOf(process.mRole),
                             process.mName,
                             process.mIsReachable
                               ? fmt::format("revision {}", process.mRevision)
                               : "NOT REACHED");
    PrintShards(process);
  }
  return ExitCode(CtlExit::kOk);
}

/// Placed tasks and recorded jobs left in the shards of a data centre.
struct DrainProgress
{
  std::int64_t mServices = 0;
  std::int64_t mBatch = 0;
  std::int64_t mJobs = 0;
  /// Number of shards whose owner replied. The counts above do not include the
  /// other shards, whose state is unknown.
  std::int64_t mShards = 0;
};

DrainProgress DrainProgressOf(const SystemOverview& aOverview,
                              const std::string& aDataCentre)
{
  DrainProgress progress;
  for (const auto& process : aOverview.mProcesses) {
    if (process.mDataCentre != aDataCentre) {
      continue;
    }
    for (const auto& shard : process.mShards) {
      progress.mShards += 1;
      progress.mServices += shard.mServiceTasks;
      progress.mBatch += shard.mBatchTasks;
      progress.mJobs += shard.mJobs;
    }
  }
  return progress;
}

/// Waits until the owners of all `aShards` shards of the data centre reply and
/// report no placed tasks of services or batch jobs. Jobs that are left are
/// printed but not waited for. Prints the progress whenever it changes.
/// @return the exit code; `kUnknown` after `kMaxWait`.
int WaitForDrain(CtlClient& aClient,
                 const std::string& aDataCentre,
                 std::int64_t aShards)
{
  const TimePoint deadline = MonotonicNow() + kMaxWait;
  std::string lastLine;
  while (MonotonicNow() < deadline) {
    const auto overview =
      DecodeReply<SystemOverview>(aClient.Call("GET", "/v1/status"));
    if (overview) {
      const auto progress = DrainProgressOf(*overview, aDataCentre);
      std::string line =
        fmt::format("{}: {} services, {} batch tasks, {} jobs left",
                    aDataCentre,
                    progress.mServices,
                    progress.mBatch,
                    progress.mJobs);
      if (progress.mShards < aShards) {
        line += fmt::format("; {} of {} shards have no owner that answers",
                            aShards - progress.mShards,
                            aShards);
      }
      if (line != lastLine) {
        std::cerr << line << "\n";
        lastLine = line;
      }
      if (progress.mServices == 0 && progress.mBatch == 0 &&
          progress.mShards >= aShards) {
        return ExitCode(CtlExit::kOk);
      }
    }
    SleepPollInterval();
  }
  return Fail("the drain is accepted but tasks may be left in the data centre",
              CtlExit::kUnknown);
}

/// Drains or restores a data centre. A drain waits until no placed tasks are
/// left in the data centre.
/// @return the exit code.
int SetDrained(CtlClient& aClient,
               const CtlOptions& aOptions,
               const std::string& aName,
               bool aIsDrained)
{
  const auto current = GetConfiguration(aClient);
  if (!current) {
    return ExitCode(CtlExit::kFailed);
  }
  const auto* found = FindNamed(current->mDataCentres, aName);
  if (found == nullptr) {
    return Fail("no data centre is named " + aName, CtlExit::kBadInput);
  }
  DataCentre wanted = *found;
  wanted.mIsDrained = aIsDrained;
  wanted.mRevision = 0;
  std::uint64_t revision = 0;
  const int code = SubmitChange(aClient,
                                aOptions,
                                aName,
                                { { ObjectKind::kDataCentre,
                                    aName,
                                    found->mRevision,
                                    EncodeValue(wanted) } },
                                revision);
  if (code != 0) {
    return code;
  }
  std::cout << fmt::format("revision {}: {} {}\n",
                           revision,
                           aName,
                           aIsDrained ? "drained" : "restored");
  return aIsDrained ? WaitForDrain(aClient, aName, found->mShards) : code;
}

/// Returns the exit code for the status of a job request.
int ExitCodeOf(JobRequestStatus aStatus)
{
  switch (aStatus) {
    case JobRequestStatus::kOk:
    case JobRequestStatus::kAccepted:
      return ExitCode(CtlExit::kOk);
    case JobRequestStatus::kInvalid:
      return ExitCode(CtlExit::kBadInput);
    case JobRequestStatus::kConflict:
      return ExitCode(CtlExit::kConflict);
    case JobRequestStatus::kUnknown:
      return ExitCode(CtlExit::kUnknown);
    default:
      return ExitCode(CtlExit::kFailed);
  }
}

/// Prints the reply to a job request.
/// @return the exit code; `kUnknown` if no valid reply arrived although the
/// request may have been sent.
int PrintJobAnswer(const CtlOptions& aOptions, const HttpResult& aResult)
{
  const auto answer = DecodeReply<JobAnswer>(aResult);
  if (!answer) {
    return ExitCode(aResult.mWasSent ? CtlExit::kUnknown : CtlExit::kFailed);
  }
  if (aOptions.mIsJson) {
    std::cout << Encode(*answer) << "\n";
    return ExitCodeOf(answer->mStatus);
  }
  if (answer->mJob.mName.empty()) {
    std::cerr << fmt::format(
      "verbenactl: {}: {}\n", NameOf(answer->mStatus), answer->mError);
    return ExitCodeOf(answer->mStatus);
  }
  const auto& job = answer->mJob;
  std::cout << fmt::format("job {} ({}): {}, {} of {} tasks done, {} placed, "
                           "shard {}{}{}\n",
                           job.mName,
                           job.mBacker,
                           NameOf(job.mState),
                           job.mDone,
                           job.mTasks,
                           job.mRunning,
                           job.mShard,
                           job.mReason.empty() ? "" : ": ",
                           job.mReason);
  return ExitCodeOf(answer->mStatus);
}

int RunJob(CtlClient& aClient,
           const CtlOptions& aOptions,
           const std::vector<std::string>& aArguments)
{
  if (aArguments.size() != 3) {
    return Fail("expected job submit FILE, job show NAME or job cancel NAME",
                CtlExit::kBadInput);
  }
  const auto& verb = aArguments[1];
  if (verb == "show") {
    return PrintJobAnswer(aOptions,
                          aClient.Call("GET", "/v1/jobs/" + aArguments[2]));
  }
  if (verb == "cancel") {
    return PrintJobAnswer(aOptions,
                          aClient.Call("DELETE", "/v1/jobs/" + aArguments[2]));
  }
  if (verb != "submit") {
    return Fail("unknown command: job " + verb, CtlExit::kBadInput);
  }
  Faults faults;
  const auto spec = LoadSettings<JobSpec>(aArguments[2], faults);
  if (!faults.empty()) {
    PrintFaults(aArguments[2], faults);
    return ExitCode(CtlExit::kBadInput);
  }
  return PrintJobAnswer(aOptions,
                        aClient.Call("POST", "/v1/jobs", Encode(spec)));
}

} // namespace

int RunCtl(const CtlOptions& aOptions,
           const std::vector<std::string>& aArguments)
{
  CtlClient client(aOptions);
  const auto& command = aArguments.front();
  const bool hasArgument = aArguments.size() == 2;
  if (command == "get" && aArguments.size() == 1) {
    return RunGet(client);
  }
  if (command == "status" && aArguments.size() == 1) {
    return RunStatus(client, aOptions);
  }
  if (command == "check" && hasArgument) {
    return RunCheck(client, aOptions, aArguments[1]);
  }
  if (command == "diff" && hasArgument) {
    return RunDiff(client, aOptions, aArguments[1]);
  }
  if (command == "apply" && hasArgument) {
    return RunApply(client, aOptions, aArguments[1]);
  }
  if (command == "drain" && hasArgument) {
    return SetDrained(client, aOptions, aArguments[1], true);
  }
  if (command == "restore" && hasArgument) {
    return SetDrained(client, aOptions, aArguments[1], false);
  }
  if (command == "job") {
    return RunJob(client, aOptions, aArguments);
  }
  return Fail("unknown command or wrong number of arguments: " + command +
                "; see --help",
              CtlExit::kBadInput);
}

} // namespace verbenacroft
