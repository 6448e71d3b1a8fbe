# One account of the smallest weight floods all routers with more callers than all other accounts together. All others, with one
# caller per service, are served within 8 s. Without fair queueing their requests would wait behind the flood until their deadline.
duration=20s
timeout=5s
attempts=1

load() {
	echo "Accounts:"
	for i in 01 04 09 10 11 12 13; do
		echo "  - Name: oficina-$i"
		echo "    Token: demo-token-oficina-$i"
		echo "    Weight: 1"
		echo "    Loads:"
		echo "      - {Service: counter-assistant, Callers: 1, Prompt: 30, MaxTokens: 60, Stream: true}"
		echo "      - {Service: repair-booking, Callers: 1, SlotTime: 150ms}"
	done
	echo "  - Name: oficina-16"
	echo "    Token: demo-token-oficina-16"
	echo "    Weight: 1"
	echo "    Loads:"
	echo "      - {Service: counter-assistant, Callers: 900, Prompt: 30, MaxTokens: 80, Stream: true}"
	echo "      - {Service: repair-booking, Callers: 500, SlotTime: 200ms}"
}

verify() {
	need Answers -ge 1000
	need LeastAnswers -ge 15
	shown=", fewest answers to an account from a service $(figure LeastAnswers)"
}
