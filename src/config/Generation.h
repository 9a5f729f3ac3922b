// From the operators' answers to the configuration.
//
// The content of a revision is the questionnaire in its normal form (sorted,
// every default written out), serialised by protobuf. Entry VMs derive their
// Configuration from it, so that the same content gives the same configuration
// everywhere, and a change can start from the answers in force.
#ifndef AMARANTHSPUR_CONFIG_GENERATION_H
#define AMARANTHSPUR_CONFIG_GENERATION_H

#include "core/Result.h"
#include "policy/Configuration.h"
#include "questionnaire.pb.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace amaranthspur::config {

/// Returns \p Answers sorted by name and with every default written out.
/// Callers that differ only in order or in defaults get the same content.
Questionnaire normalise(Questionnaire Answers);

/// Returns the content of \p Answers: the same bytes for equal answers.
/// \pre validate(Answers) is empty.
std::string contentOf(const Questionnaire &Answers);

/// Returns the SHA-256 of \p Content in lower-case hexadecimal.
std::string hashOf(std::string_view Content);

/// Reads the answers back from \p Content, which is not trusted: an error if it
/// is too large, malformed, has unknown fields or any mistake.
Result<Questionnaire> answersFrom(std::string_view Content);

/// Returns what is in force at \p Revision. \pre validate(Answers) is empty.
Configuration generate(const Questionnaire &Answers, std::uint64_t Revision);

/// Returns the configuration of content that is not trusted.
/// \param Hash expected hash of \p Content.
Result<Configuration> configurationFrom(std::string_view Content,
                                        std::string_view Hash,
                                        std::uint64_t Revision);

} // namespace amaranthspur::config

#endif // AMARANTHSPUR_CONFIG_GENERATION_H
