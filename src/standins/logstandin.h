#pragma once

#include "framework/types/ids.h"
#include "standins/standinserver.h"
#include "standins/types/logoptions.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lavendertally::standins {

/// Append-only log service with retention, a limit of appends and long reads.
class LogStandIn final : public StandInServer
{
public:
    LogStandIn(framework::IEventLoop &loop, const LogOptions &options);
    ~LogStandIn() override;

    /// Drops the oldest records of a stream.
    void expireUpTo(const std::string &stream, framework::LogOffset first);

    /// \return records kept in a stream, in order
    std::vector<std::string> records(const std::string &stream) const;

private:
    struct Record
    {
        std::string data;
        framework::TimePoint appendedAt;
    };

    struct Stream
    {
        std::uint64_t first = 0;
        std::deque<Record> records;

        std::uint64_t end() const { return first + records.size(); }
    };

    struct Reader
    {
        ExchangePtr exchange;
        std::string stream;
        std::uint64_t from = 0;
        std::uint64_t limit = 0;
        FaultMode mode = FaultMode::None;
    };

    void handle(const ExchangePtr &exchange, FaultMode mode) override;
    void onFaultSet(const Fault &fault) override;

    void append(const ExchangePtr &exchange, const std::string &name);
    bool takeAppendAllowance();
    void read(const ExchangePtr &exchange, const std::string &name, FaultMode mode);
    void wait(const Reader &reader, framework::Milliseconds wait);
    void wakeReaders(const std::string &stream);
    void replyPage(const Reader &reader);
    void expire(Stream &stream);
    std::uint64_t visibleEnd(const std::string &name, FaultMode mode) const;

    LogOptions m_options;
    std::map<std::string, Stream> m_streams;
    /// Ends of the streams when the lagging mode was set.
    std::map<std::string, std::uint64_t> m_laggingEnds;
    std::deque<framework::TimePoint> m_recentAppends;
    std::uint64_t m_nextReader = 0;
    std::map<std::uint64_t, Reader> m_readers;
};

} // namespace lavendertally::standins
