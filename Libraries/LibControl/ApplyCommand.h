#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// A document to apply, as written.
struct ApplyRequest
{
  std::string mFile; ///< Name used in errors.
  std::string mText;
  /// The version the author started from; a document that has another
  /// version by now is a conflict. None: whatever is in force.
  std::optional<std::uint64_t> mFrom;
};

/// Checks a service or places document as a whole and accepts it in one
/// transaction. A document whose text is in force already changes nothing.
ControlResult
ApplyDocument(const ControlPorts& aPorts,
              const Author& aAuthor,
              const ApplyRequest& aRequest);

/// Checks a document of any kind without the platform.
ControlResult
CheckDocumentFile(std::string_view aFile, std::string_view aText);

} // namespace paddle
