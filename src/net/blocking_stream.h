// A stream over a blocking socket for cpp-httplib's parsers.
#pragma once

#include <httplib.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <limits>
#include <optional>
#include <string>

#include "model/time.h"

namespace magpie {

// Reads from and writes to a socket that it does not own. To save system calls and packets, writes
// are buffered until Flush or until the next read from the socket. Not thread-safe.
class BlockingStream : public httplib::Stream {
 public:
  struct Limits {
    // Maximum number of bytes read for one message, regardless of the declared length.
    std::size_t message_bytes = std::numeric_limits<std::size_t>::max();
    Seconds send_timeout{5};  // maximum wait for the peer to accept more data
    // Maximum time from the first bytes of a message to its last; 0: no limit.
    Seconds receive_timeout{};
    // Bytes of incomplete messages over all streams that share the counter, and their limit.
    std::atomic<std::size_t>* pending_bytes = nullptr;
    std::size_t max_pending_bytes = 0;
  };

  BlockingStream(int socket, Limits limits) : socket_(socket), limits_(limits) {}
  ~BlockingStream() override { ReleasePending(); }
  BlockingStream(const BlockingStream&) = delete;
  BlockingStream& operator=(const BlockingStream&) = delete;

  // Starts a new message and resets the per-message limits.
  void StartMessage();
  // Starts a new message and waits for its first bytes. False: the connection is closed or failed,
  // or a timeout expired.
  bool WaitForMessage();
  // Whether bytes of the next message have already been read.
  bool has_buffered_input() const { return input_.begin < input_.end; }
  // Whether a message could not be read to its end. Such a message gets no response.
  bool truncated() const { return truncated_; }
  // Whether a send or receive timeout expired.
  bool timed_out() const { return timed_out_; }
  // Sends the buffered output. False: the connection is closed or failed, or the send timeout
  // expired.
  bool Flush();

  // httplib::Stream
  bool is_readable() const override { return true; }
  bool is_writable() const override { return true; }
  ssize_t read(char* data, std::size_t size) override;
  ssize_t write(const char* data, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  struct InputBuffer {
    std::array<char, 4096> bytes{};
    std::size_t begin = 0;  // start of the unread bytes
    std::size_t end = 0;    // end of the unread bytes
  };
  // Progress of the message that is being read.
  struct MessageProgress {
    std::size_t bytes = 0;
    std::size_t pending_bytes = 0;  // counted in Limits::pending_bytes
    std::optional<std::chrono::steady_clock::time_point> start;
  };

  bool WaitUntilWritable() const;
  bool WithinReceiveTimeout();
  bool AddPending(std::size_t bytes);
  void ReleasePending();
  bool FillInput();
  bool WithinLimits();

  int socket_;
  Limits limits_;
  InputBuffer input_;
  MessageProgress message_;
  std::string output_;
  bool truncated_ = false;
  bool timed_out_ = false;
};

}  // namespace magpie
