#include <LibNode/ReadTimeoutBackOff.h>

#include <algorithm>

namespace paddle {

void
RecordReadEnd(ReadTimeoutBackOff& aBackOff, ReadEnd aEnd)
{
  switch (aEnd) {
    case ReadEnd::Answered:
      aBackOff.mFactor = 1;
      return;
    case ReadEnd::Late:
      aBackOff.mFactor = std::min(2 * aBackOff.mFactor, kMaxReadTimeoutFactor);
      return;
    case ReadEnd::Broken:
      return;
  }
}

} // namespace paddle
