// Generates the configuration from the operators' answers.
//
// The content of a revision is the questionnaire in its normal form, serialised
// by protobuf. In the normal form the entries are sorted and every default is
// explicit. Entry VMs derive their Configuration from the content, so the same
// content gives the same configuration everywhere. The content also preserves
// the answers, so an operator can start a change from those in force.
#ifndef AMARANTHSPUR_CONFIG_GENERATION_H
#define AMARANTHSPUR_CONFIG_GENERATION_H

#include "core/Result.h"
#include "policy/Configuration.h"
#include "questionnaire.pb.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthspur::config {

/// Returns the normal form of \p Answers: the entries are sorted by name and
/// every default is explicit. Answers that differ only in the order of entries
/// or in omitted defaults have the same normal form.
Questionnaire normalise(Questionnaire Answers);

/// Returns the content of a revision with \p Answers. Answers with the same
/// normal form have the same content.
/// \pre validate(Answers) is empty.
std::string contentOf(const Questionnaire &Answers);

/// Returns the SHA-256 hash of \p Content in lower-case hexadecimal.
std::string hashOf(std::string_view Content);

/// Parses untrusted \p Content.
/// \returns an error if the content is too large, malformed or not in its
/// normal form, or if it has unknown fields or mistakes.
Result<Questionnaire> answersFrom(std::string_view Content);

/// Returns the configuration that \p Answers define, numbered \p Revision.
/// \pre validate(Answers) is empty.
Configuration generate(const Questionnaire &Answers, std::uint64_t Revision);

/// Parses untrusted \p Content and returns its configuration.
/// \param Hash is the expected hash of \p Content.
/// \returns an error if the hash differs or answersFrom() rejects the content.
Result<Configuration> configurationFrom(std::string_view Content,
                                        std::string_view Hash,
                                        std::uint64_t Revision);

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_GENERATION_H
