#include <LibNode/StorePort.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace paddle {

namespace {

/// What a read of several pages asks for, and the pages read so far.
struct PagedRead
{
  StorePort mStore;
  std::string mTable;
  std::string mPartition;
  std::string mTo;
  ReadOutcome mRead;
  ReadHandler mDone;
};

void
ReadPage(const std::shared_ptr<PagedRead>& aRead, std::string aFrom)
{
  aRead->mStore.mRead(aRead->mTable,
                      aRead->mPartition,
                      std::move(aFrom),
                      aRead->mTo,
                      [aRead](ReadOutcome aPage) {
                        // Also a failed read tells what has arrived in all.
                        aPage.mReceivedBytes += aRead->mRead.mReceivedBytes;
                        if (aPage.mResult != ReadResult::Read) {
                          aRead->mDone(std::move(aPage));
                          return;
                        }
                        ReadOutcome& read = aRead->mRead;
                        const bool first = read.mResult != ReadResult::Read;
                        read.mVersion =
                          first ? aPage.mVersion
                                : std::min(read.mVersion, aPage.mVersion);
                        read.mResult = ReadResult::Read;
                        read.mClockMs = aPage.mClockMs;
                        read.mReceivedBytes = aPage.mReceivedBytes;
                        std::move(aPage.mRows.begin(),
                                  aPage.mRows.end(),
                                  std::back_inserter(read.mRows));
                        if (aPage.mMore && !aPage.mRows.empty()) {
                          ReadPage(aRead, read.mRows.back().mKey + '\0');
                          return;
                        }
                        read.mMore = aPage.mMore;
                        aRead->mDone(std::move(read));
                      });
}

} // namespace

void
ReadAllPages(const StorePort& aStore,
             const std::string& aTable,
             const std::string& aPartition,
             const std::string& aFrom,
             const std::string& aTo,
             ReadHandler aDone)
{
  ReadPage(std::make_shared<PagedRead>(PagedRead{
             aStore, aTable, aPartition, aTo, {}, std::move(aDone) }),
           aFrom);
}

} // namespace paddle
