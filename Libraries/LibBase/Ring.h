#pragma once

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include <LibTime/Time.h>

namespace paddle {

/// Whether a ring accepted an element.
enum class PushResult
{
  Accepted,
  Full,
  Closed
};

/// A bounded first-in, first-out queue between threads, kept in a ring buffer.
/// A full ring refuses new elements instead of blocking the producer, so that
/// the producer can reject the work and tell its caller about the overload.
template<typename T>
class Ring
{
public:
  explicit Ring(std::size_t aCapacity)
    : mItems(aCapacity)
  {
  }

  /// Appends @p aItem unless the ring is full or closed.
  [[nodiscard]] PushResult TryPush(T aItem)
  {
    {
      std::lock_guard lock(mMutex);
      if (mClosed) {
        return PushResult::Closed;
      }
      if (mItems.full()) {
        return PushResult::Full;
      }
      mItems.push_back(std::move(aItem));
    }
    mAvailable.notify_one();
    return PushResult::Accepted;
  }

  /// Removes the oldest element, waiting at most @p aTimeout.
  /// @return the element, or nothing if the time-out passed or the ring is
  ///         closed and empty
  [[nodiscard]] std::optional<T> Pop(Micros aTimeout)
  {
    std::unique_lock lock(mMutex);
    mAvailable.wait_for(
      lock, aTimeout, [this] { return mClosed || !mItems.empty(); });
    if (mItems.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(mItems.front()));
    mItems.pop_front();
    return item;
  }

  /// Makes the ring refuse all further elements; the elements that it contains
  /// can still be removed.
  void Close()
  {
    {
      std::lock_guard lock(mMutex);
      mClosed = true;
    }
    mAvailable.notify_all();
  }

  [[nodiscard]] bool Closed() const
  {
    std::lock_guard lock(mMutex);
    return mClosed;
  }

  [[nodiscard]] std::size_t Size() const
  {
    std::lock_guard lock(mMutex);
    return mItems.size();
  }

private:
  mutable std::mutex mMutex;
  std::condition_variable mAvailable;
  boost::circular_buffer<T> mItems;
  bool mClosed = false;
};

} // namespace paddle
