verbenacroft_library(Foundation
  SOURCES vcCodec.cxx vcEventLog.cxx vcLogRateLimiter.cxx vcHash.cxx vcLog.cxx vcSettings.cxx
    vcTime.cxx
  LINK Boost::json spdlog::spdlog ${XXHASH_LIBRARY} Threads::Threads)
verbenacroft_library(Http
  SOURCES vcHttpBeast.cxx vcHttpBudget.cxx vcHttpClient.cxx
    vcHttpListener.cxx vcHttpRequestReader.cxx vcHttpServer.cxx vcHttpSession.cxx vcHttpText.cxx vcHttpTurns.cxx
  LINK vcFoundation)
verbenacroft_library(Store
  SOURCES vcStoreBudget.cxx vcStoreClient.cxx
  LINK vcHttp)
verbenacroft_library(Journal
  SOURCES vcJournalReader.cxx vcJournalWriter.cxx
  LINK vcStore)
verbenacroft_library(Ownership SOURCES vcOwnership.cxx LINK vcStore)
verbenacroft_library(Platform
  SOURCES vcResources.cxx vcWorkerClient.cxx
  LINK vcHttp)
verbenacroft_library(Config
  SOURCES vcConfigModel.cxx vcConfigChange.cxx vcConfigFeed.cxx
    vcConfigServer.cxx
  LINK vcPlatform vcJournal vcOwnership)
verbenacroft_library(Placement
  SOURCES vcFairness.cxx vcInterference.cxx vcPressure.cxx vcSizing.cxx vcWorkerChoice.cxx
  LINK vcConfig)
verbenacroft_library(Jobs SOURCES vcJobs.cxx LINK vcConfig)
verbenacroft_library(Scheduler
  SOURCES vcShardData.cxx vcShardState.cxx vcShardWorkers.cxx
    vcShardPlan.cxx vcShardPlacement.cxx
    vcShardServices.cxx vcShardBatch.cxx vcShardPressure.cxx vcSchedulerCore.cxx vcSchedulerJobRequests.cxx
    vcSchedulerClaims.cxx
  LINK vcPlacement vcJobs)
verbenacroft_library(Requests
  SOURCES vcRequests.cxx
  LINK vcJournal vcOwnership)
verbenacroft_library(Routing
  SOURCES vcTargetTable.cxx vcAdmission.cxx
  LINK vcScheduler)
verbenacroft_library(Burn
  SOURCES vcBurnRecorder.cxx vcBurnPage.cxx
  LINK vcConfig)
verbenacroft_library(Shell
  SOURCES vcProgram.cxx vcStoreCalls.cxx vcMetrics.cxx vcServerSupport.cxx
    vcConfigPoller.cxx vcDirectory.cxx vcJobProxy.cxx
  LINK vcScheduler prometheus-cpp::core)
verbenacroft_library(Router
  SOURCES vcRequestRouter.cxx
  LINK vcShell vcRouting vcRequests vcBurn)
verbenacroft_library(Operators SOURCES vcOperators.cxx LINK vcConfig)
verbenacroft_library(Batch
  SOURCES vcFleetConfig.cxx vcBatchProgress.cxx vcBatchSpec.cxx
  LINK vcPlatform)
verbenacroft_library(Dispatch
  SOURCES vcDispatchCrashes.cxx vcLossGroups.cxx vcSuspectIsolation.cxx
    vcDispatchJobs.cxx vcDispatchThrottling.cxx
    vcDispatchOccurrences.cxx vcDispatchPlacement.cxx
    vcDispatchProbes.cxx vcDispatchReports.cxx
    vcDispatchReservations.cxx vcDispatchSharing.cxx vcDispatchState.cxx
    vcDispatchSuccession.cxx vcDispatchTurnover.cxx vcDispatchWaiting.cxx
    vcDispatchWorkers.cxx vcDispatchWorkerSet.cxx vcEndAcknowledgement.cxx
    vcIncarnationFence.cxx
    vcLongRunningRoom.cxx
    vcOwnerPacing.cxx vcPlacementCandidates.cxx vcPlacementCost.cxx
    vcOverload.cxx vcPlacementRound.cxx vcProbeStarts.cxx vcRackLocality.cxx
    vcRenewalSchedule.cxx vcSuspectStarts.cxx vcTeamQuota.cxx vcWorkerCalls.cxx
    vcWorkerRuns.cxx
  LINK vcBatch vcPlacement)
verbenacroft_library(Node
  SOURCES vcCancellationBudget.cxx vcCallerConfig.cxx vcCallerRequests.cxx vcCallerResponses.cxx
    vcCrashRecords.cxx vcFleetLayout.cxx
    vcFormerOwner.cxx vcHandOver.cxx vcJobCancellation.cxx vcJobSubmission.cxx
    vcLeaseExtension.cxx vcMembership.cxx
    vcNodeContext.cxx vcNodeProgram.cxx vcNodeSettings.cxx vcOperatorWatch.cxx
    vcPeers.cxx vcShardClaims.cxx vcShardCrashes.cxx vcShardLog.cxx
    vcShardRunner.cxx vcStoredJob.cxx
    vcShardStoreReader.cxx vcShardStoreWriter.cxx vcShardTeams.cxx vcShardWorkerSet.cxx
    vcStoreMonitor.cxx vcTeamCredentials.cxx vcWorkerSetRecords.cxx
  LINK vcDispatch vcStore vcShell)

# The adapter to the users' platform. No other folder uses the platform's field
# names or document formats.
add_library(vcSitePlatform STATIC
  platform/vcSiteFields.cxx platform/vcSiteStore.cxx platform/vcSiteDocuments.cxx
  platform/vcSiteWorkers.cxx)
target_include_directories(vcSitePlatform PUBLIC platform)
target_link_libraries(vcSitePlatform PUBLIC vcDispatch vcStore)
