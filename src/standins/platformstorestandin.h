#pragma once

#include "framework/types/milliseconds.h"
#include "http/types/httpheaders.h"
#include "standins/standinserver.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lavendertally::standins {

/// Stand-in of the users' platform's store: keyed topics of one partition each.
class PlatformStoreStandIn final : public StandInServer
{
public:
    explicit PlatformStoreStandIn(framework::IEventLoop &loop) : StandInServer(loop) { }

    void put(const std::string &topic, const std::string &key, const std::string &value);
    /// Drops a key.
    void remove(const std::string &topic, const std::string &key);
    /// Comes back from a copy in which the topics end at these offsets; others are empty. Calls
    /// that wait are dropped.
    void restore(const std::map<std::string, std::uint64_t> &ends);
    /// Forgets all records but the newest of each key.
    void dropHistory(const std::string &topic);
    /// Makes all reads of changes find their history dropped, whatever they ask for.
    void setAlwaysGone(bool isGone) { m_isAlwaysGone = isGone; }
    /// \return the newest value of a key
    std::optional<std::string> newest(const std::string &topic, const std::string &key) const;
    std::uint64_t calls() const { return m_calls; }
    /// \param filter gets topic, key and value of what clients append, and returns the value to
    /// keep
    void setAppendFilter(
        std::function<std::string(const std::string &, const std::string &, const std::string &)>
            filter)
    {
        m_appendFilter = std::move(filter);
    }

private:
    struct Record
    {
        std::string key;
        std::string value;
    };

    struct Topic
    {
        std::vector<Record> records;
        /// Records before this one are forgotten.
        std::uint64_t first = 0;
        std::map<std::string, std::uint64_t> newest;
    };

    struct Waiting
    {
        ExchangePtr exchange;
        std::string topic;
        std::uint64_t from = 0;
    };

    void handle(const ExchangePtr &exchange, FaultMode mode) override;
    void append(const ExchangePtr &exchange, const std::string &topic);
    void read(const ExchangePtr &exchange, const std::string &topic);
    void replyNewest(const ExchangePtr &exchange, const std::string &topic) const;
    void replyRecords(const ExchangePtr &exchange, const std::string &topic,
                      std::uint64_t from) const;
    http::HttpHeaders eraHeader() const;
    void add(const std::string &topic, const std::string &key, const std::string &value);
    void answerWaiting(const std::string &topic);

    std::map<std::string, Topic> m_topics;
    std::vector<Waiting> m_waiting;
    std::function<std::string(const std::string &, const std::string &, const std::string &)>
        m_appendFilter;
    std::uint64_t m_calls = 0;
    std::uint64_t m_era = 1;
    bool m_isAlwaysGone = false;
};

} // namespace lavendertally::standins
