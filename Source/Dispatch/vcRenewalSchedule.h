#pragma once

/// Times of the renewals that an owner sends to a worker. Each renewal costs
/// both sides, and until the worker may forget its ends it answers each at once
/// with the same ones. So the next renewal waits until these are recorded, as
/// long as nothing needs an earlier report. Internal to the Dispatch library.

#include "vcDispatchState.h"

namespace verbenacroft {

/// Why the next renewal is sent when it is.
enum class RenewalCause
{
  /// The last one failed, the fence is asked for, or the worker is inactive.
  kRetry,
  /// No end has to be recorded first.
  kWait,
  /// Ends have to be recorded, or acknowledged once a start is answered.
  kEnd,
  /// A serving task beside best-effort tasks is near its target.
  kNearTarget,
};

template<>
struct EnumTable<RenewalCause>
{
  static constexpr auto kRows = std::to_array<NameRow<RenewalCause>>({
    { RenewalCause::kRetry, "retry" },
    { RenewalCause::kWait, "wait" },
    { RenewalCause::kEnd, "end" },
    { RenewalCause::kNearTarget, "near-target" },
  });
};

/// Pause between a report and the next renewal.
struct RenewalPause
{
  RenewalCause mCause = RenewalCause::kWait;
  Duration mMin{ 0 };
  /// Latest time of the renewal; it is sent earlier, after `mMin`, once
  /// `MustAwaitRecord` is false.
  Duration mMax{ 0 };
};

/// The pause after a report.
/// @param aIsGood the last renewal has succeeded
RenewalPause PauseAfterReport(const DispatchShard& aShard,
                              const DispatchWorker& aWorker,
                              bool aIsGood,
                              TimePoint aNow);

/// True while a renewal would only bring the ends that are known: they aren't
/// recorded yet, or can't be acknowledged beside a start.
bool MustAwaitRecord(const DispatchShard& aShard,
                     const DispatchWorker& aWorker,
                     TimePoint aNow);

/// How long the worker waits for an end before it answers the next renewal.
Duration ReportWaitOf(const DispatchShard& aShard,
                      const DispatchWorker& aWorker,
                      TimePoint aNow);

} // namespace verbenacroft
