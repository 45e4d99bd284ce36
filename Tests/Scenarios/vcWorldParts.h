#pragma once

/// Parts of the world that its files share; not public.

#include "vcWorld.h"

namespace verbenacroft::world {

/// The platform as an end of a cut.
inline const std::string kPlatform = "platform";

/// One life of a process; a message for an earlier one is dropped.
struct NodeRef
{
  std::string mName;
  std::uint64_t mLife = 0;
};

NodeRef RefOf(const Node& aNode);

/// Runs `aAction` at the node after the delay, if it is still the same life; a
/// frozen node gets it when it thaws.
void DeliverAfter(World& aWorld,
                  Duration aDelay,
                  const NodeRef& aNode,
                  std::function<void()> aAction);

/// The live process at the address, or null.
Node* FindByAddress(World& aWorld, const std::string& aAddress);

/// Waits for the desk's answer to `aTicket` and passes it on.
void AwaitDesk(World& aWorld,
               Node& aNode,
               std::uint64_t aTicket,
               const std::function<void(const JobAnswer&)>& aThen);

} // namespace verbenacroft::world
