// The record of a run: one line for each event, with its time.
#ifndef REVIEW_HARNESS_RECORD_H
#define REVIEW_HARNESS_RECORD_H

#include <chrono>
#include <cstdio>
#include <mutex>
#include <string>
#include <thread>

namespace review {

inline double nowMs() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

inline void sleepMs(double Ms) {
  if (Ms > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(Ms));
}

/// Writes the file named when it is created, as events happen.
class Record {
public:
  explicit Record(const std::string &Path) : File(fopen(Path.c_str(), "w")) {}
  ~Record() {
    if (File)
      fclose(File);
  }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  void note(const std::string &Text) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!File)
      return;
    fprintf(File, "%9.1f %s\n", nowMs(), Text.c_str());
    fflush(File);
  }

private:
  FILE *File;
  std::mutex Mutex;
};

} // namespace review

#endif // REVIEW_HARNESS_RECORD_H
