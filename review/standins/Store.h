#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <rapidjson/document.h>

#include "Http.h"

namespace review {

using Json = rapidjson::Value;

/// What becomes of a call of a node to the store.
struct StoreFault
{
  bool mAnswered = true;
  bool mApplied = true;  ///< Only of a transaction; false: it is dropped.
  Ms mAppliedAfter{ 0 }; ///< A transaction may be applied late.
  int mStatus = 0;       ///< If not 0: nothing is done, and this is answered.
};

/// The platform's metadata store. Each node has a port of its own, so that it
/// is known which one calls.
class Store
{
public:
  /// Decides about each call; the transaction's body, or empty.
  using FaultHook =
    std::function<StoreFault(std::size_t, const Request&, const std::string&)>;

  explicit Store(std::size_t aNodes);

  void SetFaults(FaultHook aHook);
  /// Cuts a node off from the store, or ends that: nothing that it sends
  /// arrives, and it gets no answer, also not to what it has sent before.
  void SetCut(std::size_t aNode, bool aCut);
  [[nodiscard]] std::string Address(std::size_t aNode) const;

  // The writes of the operator and of the runners. The value is plain text.
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  /// @return the plain value; empty: there is no such row
  std::string Find(const std::string& aTable, const std::string& aKey);
  /// @return the number of transactions that nodes have sent so far
  std::size_t Transactions();

private:
  using Key = std::tuple<std::string, std::string, std::string>;
  struct Row
  {
    std::string mValue; ///< In base64.
    std::int64_t mVersion = 0;
  };
  struct Change
  {
    Key mKey;
    std::string mValue;
    std::int64_t mVersion = 0;
    bool mRemoved = false;
  };

  Response Handle(std::size_t aNode, const Request& aRequest);
  bool IsCut(std::size_t aNode);
  Response Get(const Request& aRequest);
  Response Feed(const Request& aRequest);
  Response Transact(const std::string& aBody);
  void Write(const Key& aKey, const std::string& aValue, bool aRemoved);
  [[nodiscard]] std::int64_t NowMs() const;

  std::mutex mMutex;
  std::condition_variable mChanged;
  FaultHook mFaults;
  std::set<std::size_t> mCut;
  std::map<Key, Row> mRows;
  std::vector<Change> mChanges;
  std::int64_t mVersion = 1;
  std::size_t mTransactions = 0;
  Clock::time_point mBegin = Clock::now();
  std::vector<std::unique_ptr<HttpServer>> mServers;
};

std::string
ToBase64(const std::string& aBytes);

} // namespace review
