#include <LibControl/TimeText.h>

#include <array>
#include <cstdio>
#include <ctime>

namespace paddle {

std::string
TimeText(std::chrono::system_clock::time_point aTime)
{
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
    aTime.time_since_epoch());
  const std::time_t seconds = millis.count() / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 24> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> suffix{};
  std::snprintf(suffix.data(),
                suffix.size(),
                ".%03dZ",
                static_cast<int>(millis.count() % 1000));
  return std::string(date.data()) + suffix.data();
}

std::optional<std::chrono::system_clock::time_point>
ParseTimeText(const std::string& aText)
{
  for (const char* format :
       { "%Y-%m-%dT%H:%M:%S", "%Y-%m-%dT%H:%M", "%Y-%m-%d" }) {
    std::tm parts{};
    const char* end = strptime(aText.c_str(), format, &parts);
    if (!end) {
      continue;
    }
    std::string suffix(end);
    if (!suffix.empty() && suffix.front() == '.') {
      suffix.erase(0, suffix.find_first_not_of("0123456789", 1));
    }
    if (suffix.empty() || suffix == "Z") {
      return std::chrono::system_clock::from_time_t(timegm(&parts));
    }
  }
  return std::nullopt;
}

} // namespace paddle
