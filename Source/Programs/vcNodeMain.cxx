/// verbenacroft-node: process on an entry instance of the users' platform. It
/// accepts jobs from callers and owns shards of jobs and workers.

#include "vcNode.h"
#include "vcProgram.h"
#include "vcSitePlatform.h"

#include <iostream>

namespace verbenacroft {

namespace {

constexpr const char* kProgram = "verbenacroft-node";

/// Connects the node to the store, workers and data formats of the platform.
void BindPlatform(NodeContext& aNode)
{
  const auto store = ParseEndpoint(aNode.mSettings.mStoreAddress);
  aNode.mStore = MakeSiteStore(aNode.mHttp, *store);
  aNode.mWorkers = MakeSiteWorkers(aNode.mHttp);
  aNode.mCodec.mOperatorsPrefix = kOperatorKeyPrefix;
  aNode.mCodec.mConfigKey = kOperatorConfigKey;
  aNode.mCodec.mEvacuationPrefix = kEvacuationKeyPrefix;
  aNode.mCodec.mDiscoveryPrefix = kDiscoveryKeyPrefix;
  aNode.mCodec.mCredentialHeader = kCredentialHeader;
  aNode.mCodec.mDecodeConfig = DecodeFleetConfig;
  aNode.mCodec.mDecodeWorker = DecodeWorkerEntry;
  aNode.mCodec.mDecodeJob = DecodeBatchSpec;
  aNode.mCodec.mEncodeState = EncodeBatchState;
  aNode.mCodec.mEncodeWaiting = EncodeWaitingCount;
}

int Main(int aCount, char** aArguments)
{
  const CommandLine line =
    ParseCommandLine(aCount,
                     aArguments,
                     kProgram,
                     "Takes jobs and runs their tasks on the shards it owns.");
  if (line.mExit) {
    return static_cast<int>(*line.mExit);
  }
  Faults faults;
  auto settings = LoadSettings<NodeSettings>(line.mSettingsPath, faults);
  settings.mMemoryMb = line.mMemoryMb.value_or(settings.mMemoryMb);
  if (faults.empty()) {
    CheckNodeSettings(settings, faults);
  }
  if (!faults.empty()) {
    PrintFaults(line.mSettingsPath, faults);
    return static_cast<int>(ExitCode::kBadSettings);
  }
  if (line.mCheckOnly) {
    return static_cast<int>(ExitCode::kOk);
  }
  SetUpEventLog({ kProgram, settings.mName, settings.mLogLevel, true },
                settings.mLogLinesPerSecond);
  return RunNode(settings, line.mSettingsPath, BindPlatform);
}

} // namespace

} // namespace verbenacroft

int main(int aCount, char** aArguments)
{
  try {
    return verbenacroft::Main(aCount, aArguments);
  } catch (const std::exception& error) {
    verbenacroft::PrintFailure(verbenacroft::kProgram, error);
    return static_cast<int>(verbenacroft::ExitCode::kFailed);
  }
}
