/// Runs one case of the second review: `vcStage CASE PROGRAM FOLDER RECORD
/// TROUBLE`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
/// case couldn't run.

#include "vcStage.h"

#include <csignal>
#include <iostream>

int main(int aCount, char** aArguments)
{
  constexpr int kArguments = 6;
  if (aCount != kArguments) {
    std::cerr << "usage: vcStage CASE PROGRAM FOLDER RECORD TROUBLE\n";
    return static_cast<int>(stage::Verdict::kNotRun);
  }
  // A peer may close its connection at any time.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    stage::Record record(aArguments[4]);
    stage::CaseContext context{
      aArguments[2], aArguments[3], record, std::string(aArguments[5]) != "0"
    };
    const stage::Verdict verdict = stage::RunCase(aArguments[1], context);
    record.Add(verdict == stage::Verdict::kBroken ? "the rule was broken"
               : verdict == stage::Verdict::kHeld ? "the rule held"
                                                  : "the case couldn't run");
    return static_cast<int>(verdict);
  } catch (const std::exception& error) {
    std::cerr << "vcStage: " << error.what() << "\n";
    return static_cast<int>(stage::Verdict::kNotRun);
  }
}
