#include "vcScenario.h"

#include <lua.hpp>

#include <memory>

namespace verbenacroft {

namespace {

World& WorldOf(lua_State* aLua)
{
  return *static_cast<World*>(lua_touserdata(aLua, lua_upvalueindex(1)));
}

std::string Text(lua_State* aLua, int aIndex)
{
  return luaL_checkstring(aLua, aIndex);
}

std::int64_t Field(lua_State* aLua,
                   int aIndex,
                   const char* aName,
                   std::int64_t aDefault)
{
  lua_getfield(aLua, aIndex, aName);
  const auto value = luaL_optinteger(aLua, -1, aDefault);
  lua_pop(aLua, 1);
  return value;
}

double NumberField(lua_State* aLua, int aIndex, const char* aName)
{
  lua_getfield(aLua, aIndex, aName);
  const double value = luaL_optnumber(aLua, -1, 0.0);
  lua_pop(aLua, 1);
  return value;
}

bool Flag(lua_State* aLua, int aIndex, const char* aName)
{
  lua_getfield(aLua, aIndex, aName);
  const bool value = lua_toboolean(aLua, -1) != 0;
  lua_pop(aLua, 1);
  return value;
}

std::string TextField(lua_State* aLua,
                      int aIndex,
                      const char* aName,
                      const char* aDefault)
{
  lua_getfield(aLua, aIndex, aName);
  std::string value = luaL_optstring(aLua, -1, aDefault);
  lua_pop(aLua, 1);
  return value;
}

void Trace(World& aWorld, const std::string& aText)
{
  aWorld.mTrace.push_back(std::to_string(aWorld.mNow.count()) + " " + aText);
}

/// data_centre{name=, schedulers=, workers=, cpu=, memory=, accelerators=,
/// slots=}
int VerbDataCentre(lua_State* aLua)
{
  Resources capacity;
  capacity.mMilliCpu = Field(aLua, 1, "cpu", 16'000);
  capacity.mMemoryMb = Field(aLua, 1, "memory", 32'000);
  capacity.mAccelerators = Field(aLua, 1, "accelerators", 1);
  capacity.mSlots = Field(aLua, 1, "slots", 8);
  AddDataCentre(WorldOf(aLua),
                TextField(aLua, 1, "name", "a"),
                static_cast<std::size_t>(Field(aLua, 1, "schedulers", 2)),
                static_cast<std::size_t>(Field(aLua, 1, "workers", 4)),
                capacity);
  return 0;
}

/// configure{services={{name=, replicas=, cpu=, memory=}, ...}}
int VerbConfigure(lua_State* aLua)
{
  World& world = WorldOf(aLua);
  Configuration configuration;
  std::set<std::string> names;
  for (const auto& [name, node] : world.mNodes) {
    names.insert(node.mDataCentre);
  }
  for (const auto& name : names) {
    configuration.mDataCentres.push_back({ name, "here", false, 1, 1, 0 });
  }
  configuration.mBackers.push_back({ "one", 60, 0 });
  configuration.mBackers.push_back({ "two", 40, 0 });
  lua_getfield(aLua, 1, "services");
  const auto count = static_cast<int>(luaL_len(aLua, -1));
  for (int i = 1; i <= count; ++i) {
    lua_geti(aLua, -1, i);
    const int item = lua_gettop(aLua);
    Service service;
    service.mName = TextField(aLua, item, "name", "service");
    service.mBacker = TextField(aLua, item, "backer", "one");
    service.mDataCentres = { names.begin(), names.end() };
    service.mReplicas = Field(aLua, item, "replicas", 4);
    service.mDeadline = Duration{ Field(aLua, item, "deadline", 1'000) };
    service.mResources = { Field(aLua, item, "cpu", 1'000),
                           Field(aLua, item, "memory", 1'000),
                           0,
                           Field(aLua, item, "slots", 2) };
    configuration.mServices.push_back(std::move(service));
    lua_pop(aLua, 1);
  }
  ApplyWorld(world, configuration);
  return 0;
}

/// run(milliseconds)
int VerbRun(lua_State* aLua)
{
  RunFor(WorldOf(aLua), Duration{ luaL_checkinteger(aLua, 1) });
  return 0;
}

/// run_until(milliseconds, function): true once the function is true.
int VerbRunUntil(lua_State* aLua)
{
  World& world = WorldOf(aLua);
  const TimePoint end = world.mNow + Duration{ luaL_checkinteger(aLua, 1) };
  while (true) {
    lua_pushvalue(aLua, 2);
    lua_call(aLua, 0, 1);
    const bool isTrue = lua_toboolean(aLua, -1) != 0;
    lua_pop(aLua, 1);
    if (isTrue || world.mNow >= end) {
      lua_pushboolean(aLua, isTrue ? 1 : 0);
      return 1;
    }
    RunFor(world, Duration{ 100 });
  }
}

template<void (*Action)(World&, const std::string&)>
int VerbNode(lua_State* aLua)
{
  World& world = WorldOf(aLua);
  const auto name = Text(aLua, 1);
  if (!world.mNodes.contains(name)) {
    return luaL_error(aLua, "no process is named %s", name.c_str());
  }
  Action(world, name);
  return 0;
}

/// cut(left, right): data centres, "platform", or a process and a worker.
int VerbCut(lua_State* aLua)
{
  WorldOf(aLua).mCuts.insert({ Text(aLua, 1), Text(aLua, 2) });
  return 0;
}

int VerbHeal(lua_State* aLua)
{
  WorldOf(aLua).mCuts.clear();
  return 0;
}

/// store{down=, lost=, delay=}
int VerbStore(lua_State* aLua)
{
  auto& faults = WorldOf(aLua).mStore.mFaults;
  faults.mIsDown = Flag(aLua, 1, "down");
  faults.mLostAnswers = NumberField(aLua, 1, "lost");
  faults.mDelay = Duration{ Field(aLua, 1, "delay", 0) };
  return 0;
}

/// late_calls(part): part of the calls to workers that arrive late.
int VerbLateCalls(lua_State* aLua)
{
  WorldOf(aLua).mLateCalls = luaL_checknumber(aLua, 1);
  return 0;
}

int VerbDrain(lua_State* aLua)
{
  SetDrained(WorldOf(aLua), Text(aLua, 1), true);
  return 0;
}

int VerbRestore(lua_State* aLua)
{
  SetDrained(WorldOf(aLua), Text(aLua, 1), false);
  return 0;
}

/// submit{name=, at=, backer=, tasks=, run=, cpu=, memory=, urgent=}
int VerbSubmit(lua_State* aLua)
{
  World& world = WorldOf(aLua);
  JobSpec spec;
  spec.mName = TextField(aLua, 1, "name", "job");
  spec.mBacker = TextField(aLua, 1, "backer", "two");
  spec.mTasks = Field(aLua, 1, "tasks", 4);
  spec.mRunMs = Field(aLua, 1, "run", 2'000);
  spec.mIsUrgent = Flag(aLua, 1, "urgent");
  spec.mResources = { Field(aLua, 1, "cpu", 2'000),
                      Field(aLua, 1, "memory", 2'000),
                      Field(aLua, 1, "accelerators", 0),
                      0 };
  SubmitJob(world, TextField(aLua, 1, "at", "a"), spec);
  return 0;
}

int VerbCancel(lua_State* aLua)
{
  CancelJob(WorldOf(aLua), Text(aLua, 1));
  return 0;
}

/// request(data_centre, service)
int VerbRequest(lua_State* aLua)
{
  SendRequest(WorldOf(aLua), Text(aLua, 1), Text(aLua, 2));
  return 0;
}

/// keyed(data_centre, key)
int VerbKeyed(lua_State* aLua)
{
  SendKeyed(WorldOf(aLua), Text(aLua, 1), Text(aLua, 2));
  return 0;
}

/// worker(name, "kill" | "leave" | "remove" | "fail")
int VerbWorker(lua_State* aLua)
{
  World& world = WorldOf(aLua);
  const auto name = Text(aLua, 1);
  const auto what = Text(aLua, 2);
  const auto found = world.mFleet.mWorkers.find(name);
  if (found == world.mFleet.mWorkers.end()) {
    return 0;
  }
  if (what == "kill") {
    KillWorkerOf(world, name);
  } else if (what == "leave") {
    found->second.mInstance.mState = InstanceState::kLeaving;
    world.mLeavingAt.try_emplace(name, world.mNow);
  } else if (what == "remove") {
    KillWorkerOf(world, name);
    world.mFleet.mWorkers.erase(name);
  } else if (what == "fail") {
    found->second.mFailsTasks = true;
  } else {
    return luaL_error(aLua, "unknown fate of a worker: %s", what.c_str());
  }
  return 0;
}

/// edit_backer(data_centre, name, share, base): "accepted" and so on are
/// found by outcome(number) once answered; returns the number.
int VerbEditBacker(lua_State* aLua)
{
  World& world = WorldOf(aLua);
  Backer backer;
  backer.mName = Text(aLua, 2);
  backer.mSharePercent = luaL_checkinteger(aLua, 3);
  ConfigEdit edit;
  edit.mKind = ObjectKind::kBacker;
  edit.mName = backer.mName;
  edit.mBase = static_cast<std::uint64_t>(luaL_checkinteger(aLua, 4));
  edit.mValue = EncodeValue(backer);
  SubmitEdits(world, Text(aLua, 1), { edit }, [](const ChangeOutcome&) {});
  lua_pushinteger(aLua, static_cast<lua_Integer>(world.mChanges.size()));
  return 1;
}

int VerbOutcome(lua_State* aLua)
{
  const auto number = static_cast<std::size_t>(luaL_checkinteger(aLua, 1));
  const auto& change = WorldOf(aLua).mChanges.at(number - 1);
  const std::string text = change.mIsAnswered
                             ? std::string(NameOf(change.mOutcome.mStatus))
                             : "unanswered";
  lua_pushstring(aLua, text.c_str());
  return 1;
}

int VerbBackerRevision(lua_State* aLua)
{
  const auto* configuration = NewestConfiguration(WorldOf(aLua));
  const Backer* found = nullptr;
  if (configuration != nullptr) {
    found = FindNamed(configuration->mBackers, Text(aLua, 1));
  }
  lua_pushinteger(
    aLua, found == nullptr ? 0 : static_cast<lua_Integer>(found->mRevision));
  return 1;
}

/// State of a job as recorded by its owner or its claim, or "unknown".
int VerbJobState(lua_State* aLua)
{
  World& world = WorldOf(aLua);
  const auto name = Text(aLua, 1);
  const auto entry = world.mStore.mEntries.find(JobKey(name));
  std::string state = "unknown";
  if (entry != world.mStore.mEntries.end()) {
    const auto claim = TryDecode<JobClaim>(entry->second.mValue);
    if (claim) {
      state = std::string(NameOf(claim->mJob.mState));
    }
  }
  lua_pushstring(aLua, state.c_str());
  return 1;
}

/// Answer that the submitter was last given.
int VerbAnswer(lua_State* aLua)
{
  const auto& job = WorldOf(aLua).mJobs[Text(aLua, 1)];
  const std::string text =
    job.mIsSettled ? std::string(NameOf(job.mAnswer.mStatus)) : "none";
  lua_pushstring(aLua, text.c_str());
  return 1;
}

/// Tasks of the kind ("service" or "batch") running in the data centre.
int VerbRunning(lua_State* aLua)
{
  const auto dataCentre = Text(aLua, 1);
  const auto kind = ValueOf<TaskKind>(Text(aLua, 2));
  lua_Integer count = 0;
  for (const auto& [name, worker] : WorldOf(aLua).mFleet.mWorkers) {
    for (const auto& [task, run] : worker.mTasks) {
      count += worker.mInstance.mDataCentre == dataCentre && worker.mIsAlive &&
                   run.mState == RunState::kRunning && run.mStart.mKind == kind
                 ? 1
                 : 0;
    }
  }
  lua_pushinteger(aLua, count);
  return 1;
}

/// Completions of the job's tasks together.
int VerbCompletions(lua_State* aLua)
{
  const auto job = Text(aLua, 1) + "/";
  lua_Integer count = 0;
  for (const auto& [task, times] : WorldOf(aLua).mFleet.mCompletions) {
    count += task.starts_with(job) ? times : 0;
  }
  lua_pushinteger(aLua, count);
  return 1;
}

int VerbExecutions(lua_State* aLua)
{
  lua_pushinteger(aLua, WorldOf(aLua).mKeyed[Text(aLua, 1)].mExecutions);
  return 1;
}

int VerbRevision(lua_State* aLua)
{
  const auto& node = WorldOf(aLua).mNodes.at(Text(aLua, 1));
  std::uint64_t revision = RevisionOf(node.mFollower);
  if (node.mKind == NodeKind::kScheduler) {
    revision = RevisionOf(node.mScheduler.mFollower);
  } else if (node.mKind == NodeKind::kConfig) {
    revision = RevisionOf(node.mConfig.mFollower);
  }
  lua_pushinteger(aLua, static_cast<lua_Integer>(revision));
  return 1;
}

/// Name of the process that owns the shard, or an empty text.
int VerbOwner(lua_State* aLua)
{
  World& world = WorldOf(aLua);
  const auto shard = Text(aLua, 1);
  for (const auto& [name, node] : world.mNodes) {
    const bool isOwner = node.mKind == NodeKind::kScheduler && node.mIsAlive &&
                         !node.mIsFrozen &&
                         Owns(node.mScheduler.mOwnership, shard, world.mNow);
    if (isOwner) {
      lua_pushstring(aLua, name.c_str());
      return 1;
    }
  }
  lua_pushstring(aLua, "");
  return 1;
}

/// Sum of a counter of all schedulers' shards: "quarantines", "evictions",
/// "lost", "unknown_runs".
int VerbCounter(lua_State* aLua)
{
  const auto what = Text(aLua, 1);
  std::uint64_t sum = 0;
  for (const auto& [name, node] : WorldOf(aLua).mNodes) {
    for (const auto& [shardName, shard] : node.mScheduler.mShards) {
      const auto& counters = shard.mCounters;
      if (what == "quarantines") {
        sum += counters.mQuarantines;
      } else if (what == "evictions") {
        sum += counters.mEvictions;
      } else if (what == "lost") {
        sum += counters.mLost;
      } else if (what == "unknown_runs") {
        sum += counters.mUnknownRuns;
      } else {
        return luaL_error(aLua, "unknown counter: %s", what.c_str());
      }
    }
  }
  lua_pushinteger(aLua, static_cast<lua_Integer>(sum));
  return 1;
}

int VerbStoreCalls(lua_State* aLua)
{
  lua_Integer sum = 0;
  for (const auto& [op, count] : WorldOf(aLua).mStore.mCounts) {
    sum += static_cast<lua_Integer>(count);
  }
  lua_pushinteger(aLua, sum);
  return 1;
}

/// Requests that were sent to a target so far.
int VerbServed(lua_State* aLua)
{
  lua_pushinteger(aLua, static_cast<lua_Integer>(WorldOf(aLua).mServed));
  return 1;
}

int VerbNow(lua_State* aLua)
{
  lua_pushinteger(aLua, WorldOf(aLua).mNow.count());
  return 1;
}

/// random(n): 1 to n, from the seed.
int VerbRandom(lua_State* aLua)
{
  std::uniform_int_distribution<lua_Integer> choice(1,
                                                    luaL_checkinteger(aLua, 1));
  lua_pushinteger(aLua, choice(WorldOf(aLua).mRandom));
  return 1;
}

/// expect(condition, text)
int VerbExpect(lua_State* aLua)
{
  if (lua_toboolean(aLua, 1) == 0) {
    Violate(WorldOf(aLua), "expected: " + Text(aLua, 2));
  }
  return 0;
}

int VerbTrace(lua_State* aLua)
{
  Trace(WorldOf(aLua), Text(aLua, 1));
  return 0;
}

void DumpShard(World& aWorld, const std::string& aNode, const Shard& aShard)
{
  for (const auto& [name, job] : aShard.mData.mJobs) {
    const auto runtime = aShard.mJobs.find(name);
    std::string text = "dump " + aNode + " " + aShard.mName + " " + name + " " +
                       std::string(NameOf(job.mState)) + " done " +
                       std::to_string(CountDoneTasks(job)) + " of " +
                       std::to_string(job.mSpec.mTasks);
    if (runtime != aShard.mJobs.end()) {
      text += " placed " + std::to_string(runtime->second.mPlacedTasks) +
              " next " + std::to_string(runtime->second.mNextIndex) +
              " stage " +
              std::to_string(static_cast<int>(runtime->second.mStage));
    }
    Trace(aWorld, text);
  }
  for (const auto& [name, worker] : aShard.mWorkers) {
    Trace(aWorld,
          "dump " + aNode + " " + name + " committed " +
            Describe(worker.mCommitted) + " missed " +
            std::to_string(worker.mMissedSyncs) + " inventoried " +
            std::to_string(worker.mIsInventoried ? 1 : 0) + " quarantined " +
            std::to_string(worker.mQuarantinedUntil.count()));
  }
}

/// dump(): traces what every scheduler holds.
int VerbDump(lua_State* aLua)
{
  World& world = WorldOf(aLua);
  for (const auto& [key, entry] : world.mStore.mEntries) {
    if (key.starts_with("job/") || key.starts_with("journal/shard/")) {
      Trace(world, "dump " + key + " = " + entry.mValue);
    }
  }
  for (const auto& [name, node] : world.mNodes) {
    for (const auto& [shardName, shard] : node.mScheduler.mShards) {
      DumpShard(world, name, shard);
    }
  }
  return 0;
}

struct Verb
{
  const char* mName;
  lua_CFunction mFunction;
};

constexpr Verb kVerbs[] = {
  { "data_centre", VerbDataCentre },
  { "configure", VerbConfigure },
  { "run", VerbRun },
  { "run_until", VerbRunUntil },
  { "start", VerbNode<StartNode> },
  { "kill", VerbNode<KillNode> },
  { "freeze", VerbNode<FreezeNode> },
  { "thaw", VerbNode<ThawNode> },
  { "cut", VerbCut },
  { "heal", VerbHeal },
  { "store", VerbStore },
  { "late_calls", VerbLateCalls },
  { "drain", VerbDrain },
  { "restore", VerbRestore },
  { "submit", VerbSubmit },
  { "cancel", VerbCancel },
  { "request", VerbRequest },
  { "keyed", VerbKeyed },
  { "worker", VerbWorker },
  { "edit_backer", VerbEditBacker },
  { "outcome", VerbOutcome },
  { "backer_revision", VerbBackerRevision },
  { "job_state", VerbJobState },
  { "answer", VerbAnswer },
  { "running", VerbRunning },
  { "completions", VerbCompletions },
  { "executions", VerbExecutions },
  { "revision", VerbRevision },
  { "owner", VerbOwner },
  { "counter", VerbCounter },
  { "store_calls", VerbStoreCalls },
  { "served", VerbServed },
  { "now", VerbNow },
  { "random", VerbRandom },
  { "expect", VerbExpect },
  { "trace", VerbTrace },
  { "dump", VerbDump },
};

struct LuaCloser
{
  void operator()(lua_State* aLua) const { lua_close(aLua); }
};

} // namespace

ScenarioResult RunScenario(const ScenarioOptions& aOptions)
{
  ScenarioResult result;
  World world(aOptions.mSeed);
  world.mMutation = aOptions.mMutation;
  const std::unique_ptr<lua_State, LuaCloser> lua(luaL_newstate());
  luaL_openlibs(lua.get());
  for (const auto& verb : kVerbs) {
    lua_pushlightuserdata(lua.get(), &world);
    lua_pushcclosure(lua.get(), verb.mFunction, 1);
    lua_setglobal(lua.get(), verb.mName);
  }
  const std::string directory =
    aOptions.mPath.substr(0, aOptions.mPath.rfind('/') + 1);
  const std::string path = "package.path = '" + directory + "?.lua'";
  luaL_dostring(lua.get(), path.c_str());
  if (luaL_dofile(lua.get(), aOptions.mPath.c_str()) != LUA_OK) {
    Violate(world, std::string("script: ") + lua_tostring(lua.get(), -1));
  }
  for (const auto& event : world.mFleet.mEvents) {
    world.mTrace.push_back(
      std::to_string(event.mAt.count()) + " run " + event.mTask + " attempt " +
      std::to_string(event.mAttempt) + " on " + event.mWorker + " " +
      std::string(NameOf(event.mState)) + " checkpoint " +
      std::to_string(event.mCheckpoint));
  }
  std::stable_sort(world.mTrace.begin(), world.mTrace.end());
  result.mProblems = world.mViolations;
  result.mIsPassed = world.mViolations.empty();
  result.mTrace = std::move(world.mTrace);
  return result;
}

} // namespace verbenacroft
