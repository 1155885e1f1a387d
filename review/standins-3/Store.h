#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

#include "Http.h"

namespace review {

/// The platform's store, as PROTOCOL.md describes it, without its limits.
class Store
{
public:
  Store();

  [[nodiscard]] std::uint16_t Port() const { return mServer.Port(); }
  /// Writes a row with an empty part, as the operator and the runners do.
  void Write(const std::string& aTable,
             const std::string& aKey,
             const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);

private:
  using Name = std::tuple<std::string, std::string, std::string>;
  struct Row
  {
    std::string mValue; ///< In base64.
    std::int64_t mVersion = 0;
  };
  struct Change
  {
    Name mName;
    Row mRow;
    bool mRemoved = false;
  };

  Response Handle(const Request& aRequest);
  Response Transact(const std::string& aBody);
  Response Get(const Request& aRequest);
  Response Feed(const Request& aRequest);
  void Put(const Name& aName, const std::string& aValue);
  void Erase(const Name& aName);
  /// @return the end of an answer: the newest version and the clock
  [[nodiscard]] std::string Tail() const;

  std::mutex mMutex; ///< Protects the members below.
  std::condition_variable mChanged;
  std::map<Name, Row> mRows;
  std::vector<Change> mHistory;
  std::int64_t mVersion = 0;
  Server mServer;
};

} // namespace review
