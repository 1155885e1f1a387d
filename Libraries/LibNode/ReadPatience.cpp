#include <LibNode/ReadPatience.h>

#include <algorithm>

namespace paddle {

void
RecordReadEnd(ReadPatience& aPatience, ReadEnd aEnd)
{
  switch (aEnd) {
    case ReadEnd::Answered:
      aPatience.mFactor = 1;
      return;
    case ReadEnd::Late:
      aPatience.mFactor = std::min(2 * aPatience.mFactor, kMaxReadPatience);
      return;
    case ReadEnd::Broken:
      return;
  }
}

} // namespace paddle
