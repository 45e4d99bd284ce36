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

enum class CtlExit : int
{
  kOk = 0,
  kFailed = 1,
  kBadInput = 2,
  kConflict = 3,
  kUnknown = 4,
};

constexpr Duration kCallTimeout{ 8'000 };
constexpr Duration kPollInterval{ 200 };
/// Longest wait for a drain or for a change to be in force.
constexpr Duration kWaitLimit{ 60'000 };

/// Calls the operators' interface; the next address is asked when one does
/// not answer.
class CtlClient
{
public:
  explicit CtlClient(const CtlOptions& aOptions)
    : mOptions(aOptions)
  {
  }

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

int Exit(CtlExit aExit)
{
  return static_cast<int>(aExit);
}

int Fail(const std::string& aText, CtlExit aExit = CtlExit::kFailed)
{
  std::cerr << "verbenactl: " << aText << "\n";
  return Exit(aExit);
}

void Pause()
{
  asio::io_context context;
  asio::steady_timer timer(context, kPollInterval);
  timer.wait();
}

/// Decodes a successful answer; else prints why not.
template<class Answer>
std::optional<Answer> Expect(const HttpResult& aResult)
{
  if (aResult.mError) {
    Fail("no answer: " + aResult.mError.message());
    return std::nullopt;
  }
  auto answer = TryDecode<Answer>(aResult.mResponse.mBody);
  if (!answer) {
    Fail(fmt::format("refused with status {}: {}",
                     aResult.mResponse.mStatus,
                     aResult.mResponse.mBody));
  }
  return answer;
}

std::string NewChangeName(const std::string& aAuthor)
{
  std::random_device device;
  const std::uint64_t number =
    (static_cast<std::uint64_t>(device()) << 32) | device();
  return fmt::format("{}-{:016x}", aAuthor, number);
}

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
      return Exit(CtlExit::kOk);
    case ChangeStatus::kInvalid:
      return Exit(CtlExit::kBadInput);
    case ChangeStatus::kConflict:
      return Exit(CtlExit::kConflict);
    case ChangeStatus::kUnknown:
      return Fail("the change may still take effect; check with get",
                  CtlExit::kUnknown);
    case ChangeStatus::kUnavailable:
      return Fail("the store does not answer; nothing was changed");
  }
  return Exit(CtlExit::kFailed);
}

std::optional<Configuration> GetConfiguration(CtlClient& aClient)
{
  return Expect<Configuration>(aClient.Call("GET", "/v1/configuration"));
}

int RunCheck(CtlClient& aClient,
             const CtlOptions& aOptions,
             const std::string& aPath)
{
  const auto configuration = LoadConfiguration(aPath);
  if (!configuration) {
    return Exit(CtlExit::kBadInput);
  }
  const auto outcome = Expect<ChangeOutcome>(
    aClient.Call("POST", "/v1/check", Encode(*configuration)));
  if (!outcome) {
    return Exit(CtlExit::kFailed);
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
    return Exit(CtlExit::kBadInput);
  }
  const auto current = GetConfiguration(aClient);
  if (!current) {
    return Exit(CtlExit::kFailed);
  }
  const auto edits = DiffConfigurations(*current, *wanted);
  if (aOptions.mIsJson) {
    std::cout << Encode(edits) << "\n";
  } else {
    PrintEdits(edits);
  }
  return Exit(CtlExit::kOk);
}

int AwaitRevision(CtlClient& aClient, std::uint64_t aRevision)
{
  const TimePoint giveUpAt = MonotonicNow() + kWaitLimit;
  const TimePoint start = MonotonicNow();
  while (MonotonicNow() < giveUpAt) {
    const auto overview =
      Expect<SystemOverview>(aClient.Call("GET", "/v1/status"));
    const bool isEverywhere =
      overview && !overview->mProcesses.empty() &&
      std::all_of(overview->mProcesses.begin(),
                  overview->mProcesses.end(),
                  [&](const ProcessOverview& aProcess) {
                    return !aProcess.mIsReachable ||
                           aProcess.mRevision >= aRevision;
                  });
    if (isEverywhere) {
      std::cerr << fmt::format("revision {} in force in {} processes after "
                               "{} ms\n",
                               aRevision,
                               overview->mProcesses.size(),
                               (MonotonicNow() - start).count());
      return Exit(CtlExit::kOk);
    }
    Pause();
  }
  return Fail("the change is accepted but not yet in force everywhere",
              CtlExit::kUnknown);
}

int Submit(CtlClient& aClient,
           const CtlOptions& aOptions,
           const std::string& aSubject,
           std::vector<ConfigEdit> aEdits,
           std::uint64_t& aRevision)
{
  ConfigChange change;
  change.mChange = NewChangeName(aOptions.mAuthor);
  change.mAuthor = aOptions.mAuthor;
  change.mEdits = std::move(aEdits);
  // The name makes a repeat after a lost answer harmless.
  const auto outcome =
    Expect<ChangeOutcome>(aClient.Call("POST", "/v1/changes", Encode(change)));
  if (!outcome) {
    return Exit(CtlExit::kUnknown);
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
    return Exit(CtlExit::kBadInput);
  }
  const auto current = GetConfiguration(aClient);
  if (!current) {
    return Exit(CtlExit::kFailed);
  }
  auto edits = DiffConfigurations(*current, *wanted);
  if (edits.empty()) {
    std::cout << "no change\n";
    return Exit(CtlExit::kOk);
  }
  const std::size_t count = edits.size();
  std::uint64_t revision = 0;
  const int code = Submit(aClient, aOptions, aPath, std::move(edits), revision);
  if (code != 0) {
    return code;
  }
  std::cout << fmt::format(
    "revision {}: {} objects changed\n", revision, count);
  return aOptions.mIsWaiting ? AwaitRevision(aClient, revision) : code;
}

int RunGet(CtlClient& aClient)
{
  const auto configuration = GetConfiguration(aClient);
  if (!configuration) {
    return Exit(CtlExit::kFailed);
  }
  std::cout << Encode(*configuration) << "\n";
  return Exit(CtlExit::kOk);
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
    Expect<SystemOverview>(aClient.Call("GET", "/v1/status"));
  if (!overview) {
    return Exit(CtlExit::kFailed);
  }
  if (aOptions.mIsJson) {
    std::cout << Encode(*overview) << "\n";
    return Exit(CtlExit::kOk);
  }
  std::cout << fmt::format("configuration revision {}, proof {} ms old\n",
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
  return Exit(CtlExit::kOk);
}

struct DrainProgress
{
  std::int64_t mServices = 0;
  std::int64_t mBatch = 0;
  std::int64_t mJobs = 0;
  /// Shards whose owner answered; of the others nothing is known.
  std::int64_t mShards = 0;
};

DrainProgress ProgressOf(const SystemOverview& aOverview,
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

int AwaitDrain(CtlClient& aClient,
               const std::string& aDataCentre,
               std::int64_t aShards)
{
  const TimePoint giveUpAt = MonotonicNow() + kWaitLimit;
  std::string shown;
  while (MonotonicNow() < giveUpAt) {
    const auto overview =
      Expect<SystemOverview>(aClient.Call("GET", "/v1/status"));
    if (overview) {
      const auto progress = ProgressOf(*overview, aDataCentre);
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
      if (line != shown) {
        std::cerr << line << "\n";
        shown = line;
      }
      if (progress.mServices == 0 && progress.mBatch == 0 &&
          progress.mShards >= aShards) {
        return Exit(CtlExit::kOk);
      }
    }
    Pause();
  }
  return Fail("the data centre is drained but not yet empty",
              CtlExit::kUnknown);
}

int RunDrain(CtlClient& aClient,
             const CtlOptions& aOptions,
             const std::string& aName,
             bool aIsDrained)
{
  const auto current = GetConfiguration(aClient);
  if (!current) {
    return Exit(CtlExit::kFailed);
  }
  const auto* found = FindNamed(current->mDataCentres, aName);
  if (found == nullptr) {
    return Fail("no data centre is named " + aName, CtlExit::kBadInput);
  }
  DataCentre wanted = *found;
  wanted.mIsDrained = aIsDrained;
  wanted.mRevision = 0;
  std::uint64_t revision = 0;
  const int code = Submit(aClient,
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
  return aIsDrained ? AwaitDrain(aClient, aName, found->mShards) : code;
}

int ExitOf(JobRequestStatus aStatus)
{
  switch (aStatus) {
    case JobRequestStatus::kOk:
    case JobRequestStatus::kAccepted:
      return Exit(CtlExit::kOk);
    case JobRequestStatus::kInvalid:
      return Exit(CtlExit::kBadInput);
    case JobRequestStatus::kConflict:
      return Exit(CtlExit::kConflict);
    case JobRequestStatus::kUnknown:
      return Exit(CtlExit::kUnknown);
    default:
      return Exit(CtlExit::kFailed);
  }
}

int PrintDeskAnswer(const CtlOptions& aOptions, const HttpResult& aResult)
{
  const auto answer = Expect<JobAnswer>(aResult);
  if (!answer) {
    return Exit(aResult.mWasSent ? CtlExit::kUnknown : CtlExit::kFailed);
  }
  if (aOptions.mIsJson) {
    std::cout << Encode(*answer) << "\n";
    return ExitOf(answer->mStatus);
  }
  if (answer->mJob.mName.empty()) {
    std::cerr << fmt::format(
      "verbenactl: {}: {}\n", NameOf(answer->mStatus), answer->mError);
    return ExitOf(answer->mStatus);
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
  return ExitOf(answer->mStatus);
}

int RunJob(CtlClient& aClient,
           const CtlOptions& aOptions,
           const std::vector<std::string>& aWords)
{
  if (aWords.size() != 3) {
    return Fail("job submit FILE, job show NAME or job cancel NAME",
                CtlExit::kBadInput);
  }
  const auto& verb = aWords[1];
  if (verb == "show") {
    return PrintDeskAnswer(aOptions,
                           aClient.Call("GET", "/v1/jobs/" + aWords[2]));
  }
  if (verb == "cancel") {
    return PrintDeskAnswer(aOptions,
                           aClient.Call("DELETE", "/v1/jobs/" + aWords[2]));
  }
  if (verb != "submit") {
    return Fail("unknown command: job " + verb, CtlExit::kBadInput);
  }
  Faults faults;
  const auto spec = LoadSettings<JobSpec>(aWords[2], faults);
  if (!faults.empty()) {
    PrintFaults(aWords[2], faults);
    return Exit(CtlExit::kBadInput);
  }
  return PrintDeskAnswer(aOptions,
                         aClient.Call("POST", "/v1/jobs", Encode(spec)));
}

} // namespace

int RunCtl(const CtlOptions& aOptions, const std::vector<std::string>& aWords)
{
  CtlClient client(aOptions);
  const auto& command = aWords.front();
  const bool hasArgument = aWords.size() == 2;
  if (command == "get" && aWords.size() == 1) {
    return RunGet(client);
  }
  if (command == "status" && aWords.size() == 1) {
    return RunStatus(client, aOptions);
  }
  if (command == "check" && hasArgument) {
    return RunCheck(client, aOptions, aWords[1]);
  }
  if (command == "diff" && hasArgument) {
    return RunDiff(client, aOptions, aWords[1]);
  }
  if (command == "apply" && hasArgument) {
    return RunApply(client, aOptions, aWords[1]);
  }
  if (command == "drain" && hasArgument) {
    return RunDrain(client, aOptions, aWords[1], true);
  }
  if (command == "restore" && hasArgument) {
    return RunDrain(client, aOptions, aWords[1], false);
  }
  if (command == "job") {
    return RunJob(client, aOptions, aWords);
  }
  return Fail("unknown command or wrong number of words: " + command +
                "; see --help",
              CtlExit::kBadInput);
}

} // namespace verbenacroft
