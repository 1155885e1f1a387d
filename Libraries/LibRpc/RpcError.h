#pragma once

#include <LibRpc/JsonRpcAdapter.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// @return the JSON-RPC error code that stands for @p aKind. These codes count
///         down from -32010; they are sent to other processes.
inline int
RpcCodeOf(ErrorKind aKind)
{
  return kRpcApplicationError - 10 - static_cast<int>(aKind);
}

/// @return the kind that an error code stands for. A code that RpcCodeOf() does
///         not return counts as a fault of the peer, of kind Internal.
inline ErrorKind
ErrorKindOf(int aCode)
{
  const int kind = kRpcApplicationError - 10 - aCode;
  if (kind < 0 || kind > static_cast<int>(ErrorKind::Internal)) {
    return ErrorKind::Internal;
  }
  return static_cast<ErrorKind>(kind);
}

} // namespace paddle
