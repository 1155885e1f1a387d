#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <LibAsyncHttp/HttpPool.h>
#include <LibAsyncHttp/HttpTypes.h>
#include <LibNode/Node.h>

namespace paddle {

/// Sends calls to other nodes over HTTP.
class PeerClient
{
public:
  PeerClient(boost::asio::io_context& aLoop, Deadlines& aDeadlines);

  /// @return functions that send the calls; this object must outlive them
  [[nodiscard]] PeerPort Port();

private:
  boost::asio::io_context& mLoop;
  Deadlines& mDeadlines;
  std::map<std::string, std::unique_ptr<HttpPool>> mPools; ///< By address.
  std::uint64_t mLastCallId = 0; ///< Value of kCallIdHeader, as a number.
};

/// Answers a call of another node.
void
HandlePeerCall(Node& aNode,
               const HttpIncomingRequest& aRequest,
               ReplyHandler aReply);

} // namespace paddle
