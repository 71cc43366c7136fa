#include "protocol/internal/crashwire.h"

#include "protocol/types/protocolerror.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace lavendertally::protocol::crashwire {

namespace {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;

// Field numbers of peer.proto.
constexpr int HelloField = 2;
constexpr int PongField = 4;
constexpr int CrashReportField = 12;
constexpr int HelloTakesCrashReports = 2;
constexpr int PongCrashFingerprint = 5;
constexpr int ReportEvidence = 1;
constexpr int ReportIsComplete = 2;
constexpr int EvidenceParts = 1;
constexpr int EvidenceCrash = 2;
constexpr int EvidenceAttemptAge = 3;
constexpr int EvidenceCrashAge = 4;
constexpr int EvidenceIsKnownGood = 5;
constexpr int EvidenceIsRefuted = 6;

struct Field
{
    int number = 0;
    WireFormatLite::WireType type = WireFormatLite::WIRETYPE_VARINT;
    /// Of a field of fixed size or a varint.
    std::uint64_t value = 0;
    /// Of a message within the message.
    std::string_view content;
};

/// Writes the fields of one message; they are in the string when the writer is destroyed.
class Writer
{
public:
    explicit Writer(std::string &bytes) : m_target(&bytes), m_out(&m_target) { }

    void varint(int number, std::uint64_t value)
    {
        m_out.WriteTag(WireFormatLite::MakeTag(number, WireFormatLite::WIRETYPE_VARINT));
        m_out.WriteVarint64(value);
    }
    void fixed(int number, std::uint64_t value)
    {
        m_out.WriteTag(WireFormatLite::MakeTag(number, WireFormatLite::WIRETYPE_FIXED64));
        m_out.WriteLittleEndian64(value);
    }
    void flag(int number, bool value)
    {
        if (value) {
            varint(number, 1);
        }
    }
    void message(int number, const std::string &content)
    {
        m_out.WriteTag(WireFormatLite::MakeTag(number, WireFormatLite::WIRETYPE_LENGTH_DELIMITED));
        m_out.WriteVarint32(static_cast<std::uint32_t>(content.size()));
        m_out.WriteString(content);
    }

private:
    google::protobuf::io::StringOutputStream m_target;
    CodedOutputStream m_out;
};

/// \return the next field; nothing at the end or if the bytes are malformed
std::optional<Field> nextField(CodedInputStream &in, std::string_view bytes)
{
    const std::uint32_t tag = in.ReadTag();
    if (tag == 0) {
        return std::nullopt;
    }
    Field field;
    field.number = WireFormatLite::GetTagFieldNumber(tag);
    field.type = WireFormatLite::GetTagWireType(tag);
    bool isRead = false;
    if (field.type == WireFormatLite::WIRETYPE_VARINT) {
        isRead = in.ReadVarint64(&field.value);
    } else if (field.type == WireFormatLite::WIRETYPE_FIXED64) {
        isRead = in.ReadLittleEndian64(&field.value);
    } else if (field.type == WireFormatLite::WIRETYPE_LENGTH_DELIMITED) {
        int size = 0;
        isRead = in.ReadVarintSizeAsInt(&size);
        const auto start = static_cast<std::size_t>(in.CurrentPosition());
        isRead = isRead && in.Skip(size);
        field.content =
            isRead ? bytes.substr(start, static_cast<std::size_t>(size)) : std::string_view();
    } else {
        isRead = WireFormatLite::SkipField(&in, tag);
    }
    return isRead ? std::optional(field) : std::nullopt;
}

/// \return the fields of a message; nothing if it is malformed
std::optional<std::vector<Field>> fields(std::string_view bytes)
{
    CodedInputStream in(reinterpret_cast<const std::uint8_t *>(bytes.data()),
                        static_cast<int>(bytes.size()));
    std::vector<Field> result;
    while (const auto field = nextField(in, bytes)) {
        result.push_back(*field);
    }
    if (!in.ConsumedEntireMessage()) {
        return std::nullopt;
    }
    return result;
}

/// \return the varint field \p number of the messages \p message in the envelope
std::optional<std::uint64_t> nestedVarint(std::string_view envelope, int message, int number)
{
    std::optional<std::uint64_t> result;
    for (const Field &outer : fields(envelope).value_or(std::vector<Field>())) {
        if (outer.number != message || outer.type != WireFormatLite::WIRETYPE_LENGTH_DELIMITED) {
            continue;
        }
        for (const Field &inner : fields(outer.content).value_or(std::vector<Field>())) {
            if (inner.number == number && inner.type == WireFormatLite::WIRETYPE_VARINT) {
                result = inner.value;
            }
        }
    }
    return result;
}

/// \return whether two entries differ in their parts only
bool areAlike(const CrashEvidence &left, CrashEvidence right)
{
    right.part = left.part;
    return left == right;
}

/// \param first entries that are alike
std::string encode(std::vector<CrashEvidence>::const_iterator first,
                   std::vector<CrashEvidence>::const_iterator end)
{
    std::string parts;
    {
        google::protobuf::io::StringOutputStream target(&parts);
        CodedOutputStream out(&target);
        for (auto entry = first; entry != end; ++entry) {
            out.WriteLittleEndian64(entry->part.value());
        }
    }
    std::string bytes;
    {
        Writer writer(bytes);
        writer.message(EvidenceParts, parts);
        writer.fixed(EvidenceCrash, first->crash.value());
        writer.varint(EvidenceAttemptAge, static_cast<std::uint64_t>(first->attemptAge.value()));
        writer.varint(EvidenceCrashAge, static_cast<std::uint64_t>(first->crashAge.value()));
        writer.flag(EvidenceIsKnownGood, first->isKnownGood);
        writer.flag(EvidenceIsRefuted, first->isRefuted);
    }
    return bytes;
}

void set(CrashEvidence &evidence, const Field &field)
{
    const bool isVarint = field.type == WireFormatLite::WIRETYPE_VARINT;
    const framework::Milliseconds time(static_cast<std::int64_t>(field.value));
    if (field.type == WireFormatLite::WIRETYPE_FIXED64 && field.number == EvidenceCrash) {
        evidence.crash = framework::CrashId(field.value);
    } else if (isVarint && field.number == EvidenceAttemptAge) {
        evidence.attemptAge = time;
    } else if (isVarint && field.number == EvidenceCrashAge) {
        evidence.crashAge = time;
    } else if (isVarint && field.number == EvidenceIsKnownGood) {
        evidence.isKnownGood = field.value != 0;
    } else if (isVarint && field.number == EvidenceIsRefuted) {
        evidence.isRefuted = field.value != 0;
    }
}

/// Adds the entries of one message of the wire, which are alike, to the report.
framework::Result<void> decodeEvidence(std::string_view bytes, CrashReport &report)
{
    const auto content = fields(bytes);
    if (!content) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    CrashEvidence evidence;
    std::string_view parts;
    for (const Field &field : *content) {
        set(evidence, field);
        if (field.number == EvidenceParts
            && field.type == WireFormatLite::WIRETYPE_LENGTH_DELIMITED) {
            parts = field.content;
        }
    }
    const std::size_t count = parts.size() / sizeof(std::uint64_t);
    const bool isInRange = evidence.crashAge >= framework::Milliseconds(0)
        && evidence.crashAge <= evidence.attemptAge && evidence.attemptAge <= MaxEvidenceAge;
    if (!isInRange || count == 0 || parts.size() % sizeof(std::uint64_t) != 0
        || count > MaxReportedEvidence - report.evidence.size()) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    CodedInputStream in(reinterpret_cast<const std::uint8_t *>(parts.data()),
                        static_cast<int>(parts.size()));
    for (std::uint64_t part = 0; in.ReadLittleEndian64(&part);) {
        evidence.part = framework::PromptPartId(part);
        report.evidence.push_back(evidence);
    }
    return {};
}

framework::Result<CrashReport> decodeReport(std::string_view bytes)
{
    const auto content = fields(bytes);
    if (!content) {
        return framework::leaf::new_error(ProtocolError::Malformed);
    }
    CrashReport report;
    for (const Field &field : *content) {
        if (field.number == ReportIsComplete && field.type == WireFormatLite::WIRETYPE_VARINT) {
            report.isComplete = field.value != 0;
        } else if (field.number == ReportEvidence
                   && field.type == WireFormatLite::WIRETYPE_LENGTH_DELIMITED) {
            BOOST_LEAF_CHECK(decodeEvidence(field.content, report));
        }
    }
    return report;
}

} // namespace

void appendTakesCrashReports(std::string &envelope)
{
    std::string hello;
    Writer(hello).flag(HelloTakesCrashReports, true);
    Writer(envelope).message(HelloField, hello);
}

void appendFingerprint(std::string &envelope, EvidenceFingerprint fingerprint)
{
    std::string pong;
    Writer(pong).varint(PongCrashFingerprint, fingerprint.value());
    Writer(envelope).message(PongField, pong);
}

void appendReport(std::string &envelope, const CrashReport &report)
{
    std::string content;
    {
        Writer writer(content);
        for (auto first = report.evidence.begin(); first != report.evidence.end();) {
            const auto end =
                std::find_if_not(first, report.evidence.end(),
                                 [first](const auto &entry) { return areAlike(*first, entry); });
            writer.message(ReportEvidence, encode(first, end));
            first = end;
        }
        writer.flag(ReportIsComplete, report.isComplete);
    }
    Writer(envelope).message(CrashReportField, content);
}

bool takesCrashReports(std::string_view envelope)
{
    return nestedVarint(envelope, HelloField, HelloTakesCrashReports).value_or(0) != 0;
}

std::optional<EvidenceFingerprint> fingerprint(std::string_view envelope)
{
    const auto value = nestedVarint(envelope, PongField, PongCrashFingerprint);
    return value ? std::optional(EvidenceFingerprint(*value)) : std::nullopt;
}

framework::Result<CrashReport> report(std::string_view envelope)
{
    for (const Field &field : fields(envelope).value_or(std::vector<Field>())) {
        if (field.number == CrashReportField
            && field.type == WireFormatLite::WIRETYPE_LENGTH_DELIMITED) {
            return decodeReport(field.content);
        }
    }
    return framework::leaf::new_error(ProtocolError::Malformed);
}

} // namespace lavendertally::protocol::crashwire
