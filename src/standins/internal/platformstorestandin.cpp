#include "standins/platformstorestandin.h"

#include "http/ihttpexchange.h"
#include "standins/internal/httpstatus.h"
#include "standins/internal/json.h"

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lavendertally::standins {

namespace {

constexpr int HttpGone = 410;
constexpr int HttpPreconditionFailed = 412;
constexpr std::size_t OffsetSize = 8;
constexpr std::size_t LengthSize = 4;
constexpr int BitsPerByte = 8;

std::string bigEndian(std::uint64_t number, std::size_t size)
{
    std::string bytes;
    for (std::size_t index = size; index > 0; --index) {
        bytes += static_cast<char>((number >> (BitsPerByte * (index - 1))) & 0xff);
    }
    return bytes;
}

std::uint64_t readNumber(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (const char byte : bytes) {
        number = (number << BitsPerByte) | static_cast<unsigned char>(byte);
    }
    return number;
}

std::string encodeBase64(const std::string &bytes)
{
    using namespace boost::archive::iterators;
    constexpr int BitsPerDigit = 6;
    using Encoder =
        base64_from_binary<transform_width<std::string::const_iterator, BitsPerDigit, BitsPerByte>>;
    std::string text(Encoder(bytes.begin()), Encoder(bytes.end()));
    constexpr std::size_t Group = 4;
    return text.append((Group - text.size() % Group) % Group, '=');
}

std::uint64_t numberIn(const http::IHttpExchange &exchange, const char *name)
{
    const auto text = exchange.query(name);
    return text ? std::stoull(*text) : 0;
}

} // namespace

void PlatformStoreStandIn::put(const std::string &topic, const std::string &key,
                               const std::string &value)
{
    add(topic, key, value);
}

void PlatformStoreStandIn::remove(const std::string &topic, const std::string &key)
{
    add(topic, key, {});
}

void PlatformStoreStandIn::dropHistory(const std::string &topic)
{
    m_topics[topic].first = m_topics[topic].records.size();
}

void PlatformStoreStandIn::restore(const std::map<std::string, std::uint64_t> &ends)
{
    ++m_era;
    m_waiting.clear();
    std::map<std::string, Topic> restored;
    for (const auto &[name, end] : ends) {
        Topic &target = restored[name];
        const std::vector<Record> &records = m_topics[name].records;
        target.first = std::min(m_topics[name].first, end);
        for (std::uint64_t offset = 0; offset < end && offset < records.size(); ++offset) {
            if (records[offset].value.empty()) {
                target.newest.erase(records[offset].key);
            } else {
                target.newest[records[offset].key] = offset;
            }
            target.records.push_back(records[offset]);
        }
    }
    m_topics = std::move(restored);
}

http::HttpHeaders PlatformStoreStandIn::eraHeader() const
{
    return {{"Store-Era", std::to_string(m_era)}};
}

std::optional<std::string> PlatformStoreStandIn::newest(const std::string &topic,
                                                        const std::string &key) const
{
    const auto found = m_topics.find(topic);
    if (found == m_topics.end() || !found->second.newest.contains(key)) {
        return std::nullopt;
    }
    return found->second.records[found->second.newest.at(key)].value;
}

void PlatformStoreStandIn::add(const std::string &topic, const std::string &key,
                               const std::string &value)
{
    Topic &target = m_topics[topic];
    if (value.empty()) {
        target.newest.erase(key);
    } else {
        target.newest[key] = target.records.size();
    }
    target.records.push_back({key, value});
    answerWaiting(topic);
}

void PlatformStoreStandIn::handle(const ExchangePtr &exchange, FaultMode /*mode*/)
{
    ++m_calls;
    const std::string topic = exchange->query("topic").value_or("");
    if (exchange->path() == "/log-append") {
        append(exchange, topic);
    } else if (exchange->path() == "/log-read") {
        read(exchange, topic);
    } else if (exchange->path() == "/log-newest") {
        replyNewest(exchange, topic);
    } else {
        replyError(*exchange, HttpStatus::NotFound, "not_found");
    }
}

void PlatformStoreStandIn::append(const ExchangePtr &exchange, const std::string &topic)
{
    std::string_view rest = exchange->body();
    const std::uint64_t offset = m_topics[topic].records.size();
    if (exchange->query("at") && numberIn(*exchange, "at") != offset) {
        exchange->reply(HttpPreconditionFailed, "application/json",
                        nlohmann::json({{"endOffset", offset}}).dump(), eraHeader());
        return;
    }
    while (rest.size() > LengthSize) {
        const std::size_t length = readNumber(rest.substr(0, LengthSize));
        const std::string_view record = rest.substr(LengthSize, length);
        rest.remove_prefix(LengthSize + length);
        const std::size_t keySize = static_cast<unsigned char>(record.front());
        const std::string key(record.substr(1, keySize));
        std::string value(record.substr(1 + keySize));
        if (m_appendFilter && !value.empty()) {
            value = m_appendFilter(topic, key, value);
        }
        add(topic, key, value);
    }
    replyJson(*exchange, HttpStatus::Ok,
              {{"offset", offset}, {"endOffset", m_topics[topic].records.size()}});
}

void PlatformStoreStandIn::read(const ExchangePtr &exchange, const std::string &topic)
{
    const std::uint64_t from = numberIn(*exchange, "from");
    const framework::Milliseconds wait(static_cast<std::int64_t>(numberIn(*exchange, "waitMs")));
    const Topic &source = m_topics[topic];
    if (m_isAlwaysGone || from < source.first || from > source.records.size()) {
        exchange->reply(HttpGone, "application/json",
                        nlohmann::json({{"firstOffset", source.first}}).dump(), eraHeader());
        return;
    }
    if (from < m_topics[topic].records.size() || wait.value() == 0) {
        replyRecords(exchange, topic, from);
        return;
    }
    m_waiting.push_back({exchange, topic, from});
    deferred().callAfter(wait, [this, exchange, topic, from] {
        const auto found =
            std::find_if(m_waiting.begin(), m_waiting.end(),
                         [&exchange](const Waiting &each) { return each.exchange == exchange; });
        if (found != m_waiting.end()) {
            m_waiting.erase(found);
            replyRecords(exchange, topic, from);
        }
    });
}

void PlatformStoreStandIn::answerWaiting(const std::string &topic)
{
    std::vector<Waiting> left;
    for (Waiting &waiting : std::exchange(m_waiting, {})) {
        if (waiting.topic == topic) {
            replyRecords(waiting.exchange, topic, waiting.from);
        } else {
            left.push_back(std::move(waiting));
        }
    }
    m_waiting = std::move(left);
}

void PlatformStoreStandIn::replyRecords(const ExchangePtr &exchange, const std::string &topic,
                                        std::uint64_t from) const
{
    const Topic &source = m_topics.at(topic);
    std::string body =
        bigEndian(source.records.size(), OffsetSize) + bigEndian(source.first, OffsetSize);
    for (std::size_t index = from; index < source.records.size(); ++index) {
        const Record &record = source.records[index];
        const std::string content =
            static_cast<char>(record.key.size()) + record.key + record.value;
        body += bigEndian(content.size(), LengthSize) + content;
    }
    exchange->reply(HttpStatus::Ok, "application/octet-stream", body, eraHeader());
}

void PlatformStoreStandIn::replyNewest(const ExchangePtr &exchange, const std::string &topic) const
{
    nlohmann::json items = nlohmann::json::array();
    std::uint64_t end = 0;
    if (const auto found = m_topics.find(topic); found != m_topics.end()) {
        end = found->second.records.size();
        for (const auto &[key, index] : found->second.newest) {
            items.push_back({{"key", key},
                             {"value", encodeBase64(found->second.records[index].value)},
                             {"offset", index}});
        }
    }
    exchange->reply(
        HttpStatus::Ok, "application/json",
        nlohmann::json({{"items", items}, {"hasMore", false}, {"endOffset", end}}).dump(),
        eraHeader());
}

} // namespace lavendertally::standins
