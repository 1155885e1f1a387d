#pragma once

namespace paddle {

/// Whether an answer belongs to the call that is under way on its connection.
/// HTTP/1.1 has nothing that ties an answer to its request, so a peer that
/// answers a request twice would answer the next one with it.
enum class AnswerOrigin
{
  Own,      ///< It certainly does, and the connection can be used again.
  Unproved, ///< It does if the peer answers each request once. The connection
            ///< is closed, so that a second copy meets no other call.
  Earlier   ///< It repeats the answer to an earlier call, and is dropped.
};

} // namespace paddle
