#include <LibControl/TimeText.h>

#include <array>
#include <cstdio>
#include <ctime>

namespace paddle {

std::string
TimeText(std::chrono::system_clock::time_point aTime)
{
  const auto micros = std::chrono::duration_cast<std::chrono::milliseconds>(
    aTime.time_since_epoch());
  const std::time_t seconds = micros.count() / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 24> date{};
  std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 8> rest{};
  std::snprintf(rest.data(),
                rest.size(),
                ".%03dZ",
                static_cast<int>(micros.count() % 1000));
  return std::string(date.data()) + rest.data();
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
    std::string rest(end);
    if (!rest.empty() && rest.front() == '.') {
      rest.erase(0, rest.find_first_not_of("0123456789", 1));
    }
    if (rest.empty() || rest == "Z") {
      return std::chrono::system_clock::from_time_t(timegm(&parts));
    }
  }
  return std::nullopt;
}

} // namespace paddle
