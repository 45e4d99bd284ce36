#include "vcStoreCalls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace verbenacroft {

namespace {

/// Makes one call and passes its reply to the handler.
asio::awaitable<void> MakeCall(StoreClient& aClient,
                               StoreCall aCall,
                               StoreReplyHandler aHandler)
{
  const StoreReply reply =
    co_await aClient.Call(std::move(aCall.mRequest), aCall.mPriority);
  aHandler(aCall.mRoute, aCall.mId, reply);
}

} // namespace

void StartStoreCalls(asio::io_context& aContext,
                     StoreClient& aClient,
                     StoreOutbox& aOutbox,
                     const StoreReplyHandler& aHandler)
{
  std::vector<StoreCall> calls = std::move(aOutbox.mCalls);
  aOutbox.mCalls.clear();
  for (auto& call : calls) {
    asio::co_spawn(
      aContext, MakeCall(aClient, std::move(call), aHandler), asio::detached);
  }
}

} // namespace verbenacroft
