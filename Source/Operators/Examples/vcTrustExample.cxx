/// Example: configuration of a trust that weights tail latency above evictions
/// and throughput.

#include "vcOperators.h"

#include <iostream>

int main()
{
  using namespace verbenacroft;
  Configuration configuration;
  for (const auto* name : { "north", "middle", "south" }) {
    AddDataCentre(configuration, name, "east-coast", 2);
  }
  configuration.mDataCentres.front().mRouters = 3;
  AddBacker(configuration, "regional-councils", 45);
  AddBacker(configuration, "field-crews", 35);
  AddBacker(configuration, "guardians", 20);

  Service& tally =
    AddService(configuration, "tally", "field-crews", { 2'000, 2'048, 0, 4 });
  RunEverywhere(configuration, tally);
  tally.mReplicas = 12;
  tally.mObjectiveLatency = Duration{ 100 };
  tally.mHedgeAfter = Duration{ 80 };
  tally.mIdempotentPaths = { "/estimate" };

  Service& tickets = AddService(
    configuration, "tickets", "regional-councils", { 1'000, 1'024, 0, 4 });
  RunEverywhere(configuration, tickets);
  tickets.mReplicas = 9;

  Service& sediment =
    AddService(configuration, "sediment", "guardians", { 1'000, 1'024, 0, 2 });
  RunEverywhere(configuration, sediment);
  sediment.mReplicas = 6;
  sediment.mClass = ServiceClass::kStandard;

  Policy policy;
  policy.mTailLatency = 3.0;
  SetPolicy(configuration, policy);
  return PrintConfiguration(configuration, std::cout);
}
