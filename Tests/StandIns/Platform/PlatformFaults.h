#pragma once

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <LibTime/Time.h>

namespace paddle {

/// How requests of a member that is cut off fail.
enum class CutMode
{
  Refuse, ///< At once, without effect.
  Silent  ///< Without an answer until the sender gives up; without effect.
};

/// What a request meets.
enum class RequestFate
{
  Serve,
  Refuse,
  Silent
};

/// The faults a platform stand-in shows now. Safe for use from several
/// threads.
class PlatformFaults
{
public:
  void SetOutage(bool aOn);

  /// Delays each request before it takes effect.
  void SetDelay(Millis aDelay);

  /// Loses the answers of the next transactions that take effect.
  void LoseAnswers(unsigned aCount);

  /// Cuts off exactly these members; an empty list ends the cut.
  void CutFrom(const std::vector<std::string>& aMembers, CutMode aMode);

  /// @param aMember name of the sender, empty if it has none
  /// @return the fate of its requests by the cuts alone
  [[nodiscard]] RequestFate FateByCut(std::string_view aMember) const;

  [[nodiscard]] bool Outage() const;

  [[nodiscard]] Millis Delay() const;

  /// @return whether the answer of a transaction is to be lost; counts down
  bool TakeLostAnswer();

private:
  mutable std::mutex mMutex;
  bool mOutage = false;
  Millis mDelay{ 0 };
  unsigned mLostAnswers = 0;
  std::map<std::string, CutMode, std::less<>> mCut;
};

} // namespace paddle
