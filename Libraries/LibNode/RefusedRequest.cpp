#include <LibNode/RefusedRequest.h>

#include <algorithm>

#include <LibBase/Log.h>

namespace paddle {

namespace {

/// Bounds on texts in a line, in bytes. The client chooses them, and the head
/// of a request may take 16 KB; those of real clients are shorter than this.
constexpr std::size_t kMaxTextBytes = 120;
constexpr std::size_t kMaxMethodBytes = 16;
/// Marks a text that was shortened.
constexpr std::string_view kEllipsis = "...";

/// @return the cause as it appears in a line
const char*
NameOf(RefusalCause aCause)
{
  switch (aCause) {
    case RefusalCause::NoConfiguration:
      return "no_configuration";
    case RefusalCause::PendingUnknown:
      return "pending_unknown";
    case RefusalCause::UnknownRoute:
      return "unknown_route";
    case RefusalCause::InvalidJobId:
      return "invalid_job_id";
    case RefusalCause::InvalidJob:
      return "invalid_job";
    case RefusalCause::Method:
      return "method";
  }
  return "unknown";
}

/// @return the text in printable ASCII and at most @p aMaxBytes long, without
///         the mark of a shortened text
std::string
Printable(std::string_view aText, std::size_t aMaxBytes)
{
  std::string text(aText.substr(0, aMaxBytes));
  std::replace_if(
    text.begin(),
    text.end(),
    [](char aByte) { return aByte < ' ' || aByte > '~'; },
    '?');
  if (aText.size() > aMaxBytes) {
    text += kEllipsis;
  }
  return text;
}

} // namespace

std::string
FormatConfigurationCopy(const ConfigurationCopy& aCopy)
{
  return FormatFields(
    { { "version", aCopy.mVersion },
      { "configuration_age_ms",
        aCopy.mAge ? std::to_string(aCopy.mAge->count()) : "none" } });
}

std::string
FormatRefusedRequest(const RefusedRequest& aRequest,
                     const ConfigurationCopy& aCopy)
{
  std::string fields =
    FormatFields({ { "status", aRequest.mStatus },
                   { "cause", NameOf(aRequest.mCause) },
                   { "method", Printable(aRequest.mMethod, kMaxMethodBytes) },
                   { "host", Printable(aRequest.mHost, kMaxTextBytes) },
                   { "path", Printable(aRequest.mPath, kMaxTextBytes) } });
  if (!aRequest.mMessage.empty()) {
    fields +=
      ' ' + FormatFields(
              { { "message", Printable(aRequest.mMessage, kMaxTextBytes) } });
  }
  return fields + ' ' + FormatConfigurationCopy(aCopy);
}

} // namespace paddle
