#pragma once

#include <LibRpc/JsonRpcAdapter.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// @return the JSON-RPC error code that carries @p aKind
inline int
RpcCodeOf(ErrorKind aKind)
{
  return kRpcApplicationError - 10 - static_cast<int>(aKind);
}

/// @return the kind carried by an error code; codes that are not ours count
///         as faults of the peer
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
