#include "protocol/internal/rolloutwire.h"

#include "protocol/internal/wirereader.h"
#include "protocol/internal/wirewriter.h"
#include "protocol/types/protocolerror.h"

#include <cstdint>
#include <utility>

namespace lavendertally::protocol {

namespace {

// Numbers of fields in peer.proto.
constexpr std::uint32_t HelloField = 2;
constexpr std::uint32_t HelloTakesRollouts = 4;
constexpr std::uint32_t PongField = 4;
constexpr std::uint32_t PongTakesRollouts = 7;
constexpr std::uint32_t ReportField = 15;
constexpr std::uint32_t StepsField = 16;

/// A rollout that takes longer makes no sense; larger times come from a fault.
constexpr std::int64_t MaxElapsedMs = 30LL * 86400000;

template <typename Id>
Id idIn(const WireReader &reader)
{
    return Id(std::string(reader.content()));
}

std::string encodeOrder(const RolloutOrderId &order)
{
    WireWriter writer;
    writer.number(1, order.era.value());
    writer.number(2, order.offset.value());
    return writer.take();
}

RolloutOrderId decodeOrder(std::string_view bytes, bool &isGood)
{
    RolloutOrderId order;
    WireReader reader(bytes);
    while (reader.next()) {
        if (reader.field() == 1) {
            order.era = framework::StoreEra(reader.number());
        } else if (reader.field() == 2) {
            order.offset = framework::LogOffset(reader.number());
        }
    }
    isGood = isGood && reader.isGood();
    return order;
}

/// Writes the fields that a report and a step of a service have in common.
template <typename Service>
void writeService(WireWriter &writer, const Service &service)
{
    writer.text(1, service.service.value());
    writer.text(2, service.target.value());
    writer.message(3, encodeOrder(service.order));
    writer.number(4, static_cast<std::uint64_t>(service.step));
    writer.number(5, static_cast<std::uint64_t>(service.elapsed.value()));
}

template <typename Service>
void readServiceField(const WireReader &reader, Service &service, bool &isGood)
{
    switch (reader.field()) {
    case 1:
        service.service = idIn<framework::ServiceId>(reader);
        break;
    case 2:
        service.target = idIn<framework::SoftwareVersion>(reader);
        break;
    case 3:
        service.order = decodeOrder(reader.content(), isGood);
        break;
    case 4:
        isGood = isGood && reader.number() <= static_cast<std::uint64_t>(RolloutStep::Completed);
        service.step = isGood ? static_cast<RolloutStep>(reader.number()) : RolloutStep::Waiting;
        break;
    case 5:
        service.elapsed = framework::Milliseconds(static_cast<std::int64_t>(reader.number()));
        isGood = isGood && service.elapsed >= framework::Milliseconds(0)
            && service.elapsed <= framework::Milliseconds(MaxElapsedMs);
        break;
    default:
        break;
    }
}

std::string encodeEvidence(const RolloutEvidence &evidence)
{
    WireWriter writer;
    writer.text(1, evidence.route.value());
    writer.number(2, evidence.isTarget ? 1 : 0);
    writer.number(3, evidence.answers);
    writer.number(4, evidence.failures);
    std::string times;
    for (std::size_t index = 0; index < evidence.times.size(); ++index) {
        if (evidence.times[index] > 0) {
            WireWriter::appendVarint(times, index);
            WireWriter::appendVarint(times, evidence.times[index]);
        }
    }
    writer.packed(5, times);
    return writer.take();
}

RolloutEvidence decodeEvidence(std::string_view bytes, bool &isGood)
{
    RolloutEvidence evidence;
    WireReader reader(bytes);
    while (reader.next()) {
        if (reader.field() == 1) {
            evidence.route = idIn<framework::RouteId>(reader);
        } else if (reader.field() == 2) {
            evidence.isTarget = reader.number() != 0;
        } else if (reader.field() == 3) {
            evidence.answers = reader.number();
        } else if (reader.field() == 4) {
            evidence.failures = reader.number();
        } else if (reader.field() == 5) {
            std::string_view times = reader.content();
            while (!times.empty() && isGood) {
                std::uint64_t index = 0;
                std::uint64_t count = 0;
                isGood = WireReader::takeVarint(times, index)
                    && WireReader::takeVarint(times, count) && index < evidence.times.size();
                if (isGood) {
                    evidence.times[index] = count;
                }
            }
        }
    }
    isGood = isGood && reader.isGood();
    return evidence;
}

RolloutServiceReport decodeServiceReport(std::string_view bytes, bool &isGood)
{
    RolloutServiceReport report;
    WireReader reader(bytes);
    while (reader.next()) {
        readServiceField(reader, report, isGood);
        if (reader.field() == 6) {
            report.atOldServers = reader.number();
        } else if (reader.field() == 7) {
            report.sent = reader.number();
        } else if (reader.field() == 8) {
            report.sentToTarget = reader.number();
        } else if (reader.field() == 9) {
            isGood = isGood && report.evidence.size() < MaxRolloutEvidence;
            if (isGood) {
                report.evidence.push_back(decodeEvidence(reader.content(), isGood));
            }
        }
    }
    isGood = isGood && reader.isGood() && !report.service.isEmpty();
    return report;
}

RolloutServiceStep decodeServiceStep(std::string_view bytes, bool &isGood)
{
    RolloutServiceStep step;
    WireReader reader(bytes);
    while (reader.next()) {
        readServiceField(reader, step, isGood);
    }
    isGood = isGood && reader.isGood() && !step.service.isEmpty();
    return step;
}

RolloutReport decodeReport(std::string_view bytes, bool &isGood)
{
    RolloutReport report;
    WireReader reader(bytes);
    while (reader.next()) {
        if (reader.field() == 1) {
            report.start = reader.number();
        } else if (reader.field() == 2) {
            isGood = isGood && report.services.size() < MaxRolloutServices;
            if (isGood) {
                report.services.push_back(decodeServiceReport(reader.content(), isGood));
            }
        }
    }
    isGood = isGood && reader.isGood();
    return report;
}

RolloutSteps decodeSteps(std::string_view bytes, bool &isGood)
{
    RolloutSteps steps;
    WireReader reader(bytes);
    while (reader.next()) {
        if (reader.field() == 1) {
            isGood = isGood && steps.services.size() < MaxRolloutServices;
            if (isGood) {
                steps.services.push_back(decodeServiceStep(reader.content(), isGood));
            }
        }
    }
    isGood = isGood && reader.isGood();
    return steps;
}

std::string announceIn(std::uint32_t messageField, std::uint32_t field)
{
    WireWriter inner;
    inner.number(field, 1);
    WireWriter outer;
    // Parts of a message that come one after the other are merged by all readers of protobuf.
    outer.message(messageField, inner.take());
    return outer.take();
}

bool hasFlag(std::string_view bytes, std::uint32_t field)
{
    bool flag = false;
    WireReader reader(bytes);
    while (reader.next()) {
        flag = reader.field() == field ? reader.number() != 0 : flag;
    }
    return flag;
}

} // namespace

std::string RolloutWire::encode(const RolloutReport &report)
{
    WireWriter content;
    content.fixed(1, report.start);
    for (const RolloutServiceReport &service : report.services) {
        WireWriter writer;
        writeService(writer, service);
        writer.number(6, service.atOldServers);
        writer.number(7, service.sent);
        writer.number(8, service.sentToTarget);
        for (const RolloutEvidence &evidence : service.evidence) {
            writer.message(9, encodeEvidence(evidence));
        }
        content.message(2, writer.take());
    }
    WireWriter envelope;
    envelope.message(ReportField, content.take());
    return envelope.take();
}

std::string RolloutWire::encode(const RolloutSteps &steps)
{
    WireWriter content;
    for (const RolloutServiceStep &service : steps.services) {
        WireWriter writer;
        writeService(writer, service);
        content.message(1, writer.take());
    }
    WireWriter envelope;
    envelope.message(StepsField, content.take());
    return envelope.take();
}

std::string RolloutWire::announceInHello()
{
    return announceIn(HelloField, HelloTakesRollouts);
}

std::string RolloutWire::announceInPong()
{
    return announceIn(PongField, PongTakesRollouts);
}

framework::Result<RolloutWire::Content> RolloutWire::decode(std::string_view envelope)
{
    Content content;
    bool isGood = true;
    WireReader reader(envelope);
    while (reader.next()) {
        if (!reader.isLengthDelimited()) {
            continue;
        }
        const std::string_view bytes = reader.content();
        if (reader.field() == HelloField) {
            content.takesRollouts |= hasFlag(bytes, HelloTakesRollouts);
        } else if (reader.field() == PongField) {
            content.takesRollouts |= hasFlag(bytes, PongTakesRollouts);
        } else if (reader.field() == ReportField) {
            content.message = decodeReport(bytes, isGood);
        } else if (reader.field() == StepsField) {
            content.message = decodeSteps(bytes, isGood);
        }
    }
    if (!isGood || !reader.isGood()) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    return content;
}

} // namespace lavendertally::protocol
