#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include <LibAsyncHttp/Deadlines.h>
#include <LibAsyncHttp/HttpTypes.h>

namespace paddle {

/// Kept-alive HTTP/1.1 connections to one peer, for one event loop. It never
/// sends a request twice: whether a call may be repeated is the caller's
/// knowledge.
class HttpPool
{
public:
  /// @param aAddress IPv4 address and port, "10.0.0.1:80"
  /// @param aMost    connections at the same time; further calls wait
  HttpPool(boost::asio::io_context& aLoop,
           Deadlines& aDeadlines,
           std::string aAddress,
           std::size_t aMost);
  ~HttpPool();
  HttpPool(const HttpPool&) = delete;
  HttpPool& operator=(const HttpPool&) = delete;

  /// @param aDone called once, never from within this function
  void Send(HttpCall aCall, AnswerHandler aDone);

  struct State;

private:
  std::shared_ptr<State> mState;
};

} // namespace paddle
