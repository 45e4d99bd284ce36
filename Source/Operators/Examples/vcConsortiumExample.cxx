/// Example: configuration of a consortium that weights few evictions and high
/// throughput above tail latency.

#include "vcOperators.h"

#include <iostream>

int main()
{
  using namespace verbenacroft;
  Configuration configuration;
  for (const auto* name : { "leon", "celaya", "irapuato" }) {
    AddDataCentre(configuration, name, "bajio", 2);
  }
  configuration.mDataCentres.front().mRouters = 3;
  AddBacker(configuration, "house-azul", 34);
  AddBacker(configuration, "house-verde", 33);
  AddBacker(configuration, "house-roja", 33);

  Service& check = AddService(
    configuration, "master-check", "house-azul", { 2'000, 2'048, 0, 4 });
  RunEverywhere(configuration, check);
  check.mReplicas = 9;

  Service& orders =
    AddService(configuration, "orders", "house-verde", { 1'000, 1'024, 0, 4 });
  RunEverywhere(configuration, orders);
  orders.mReplicas = 9;

  Policy policy;
  policy.mEvictions = 3.0;
  policy.mThroughput = 3.0;
  SetPolicy(configuration, policy);
  return PrintConfiguration(configuration, std::cout);
}
