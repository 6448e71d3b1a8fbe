# Booking answers are late, swapped with another request's, shorter than their Content-Length, cut at a byte, or sent twice on one
# connection; idle connections are closed as the next request uses them; streams break and are resumed. Every answer a caller
# accepts is complete and belongs to its request. Without the routers' check of answers a caller would get another's booking.
duration=20s
timeout=10s

load() {
	echo "Accounts:"
	router_loads "Stream: true, Routers: [HERE]" "Resend: 0.1"
	echo "Steps:"
	cut=10
	for d in $domains; do
		p=repair-booking-$d
		fault_step 1s "$d" "{\"Target\":\"$p\",\"Plain\":{\"Crossed\":true,\"Every\":4}}"
		fault_step 4s "$d" "{\"Target\":\"$p\",\"Plain\":{\"Short\":7,\"Every\":4}}"
		fault_step 6s "$d" "{\"Target\":\"$p\",\"Plain\":{\"Cut\":true,\"CutAt\":$cut,\"Every\":4}}"
		fault_step 8s "$d" "{\"Target\":\"$p\",\"Plain\":{\"Cut\":true,\"CutAt\":$((cut + 200)),\"Every\":4}}"
		fault_step 10s "$d" "{\"Target\":\"$p\",\"Plain\":{\"Repeat\":true,\"Every\":3}}"
		fault_step 13s "$d" "{\"Target\":\"$p\",\"Plain\":{\"IdleClose\":1000000}}"
		fault_step 15s "$d" "{\"Target\":\"$p\",\"Plain\":{\"Late\":2000000000,\"Every\":6}}"
		fault_step 17s "$d" "{\"Target\":\"$p\",\"Plain\":{}}"
		fault_step 2s "$d" "{\"Target\":\"counter-assistant-$d\",\"Engine\":{\"Cuts\":40,\"CutAfter\":$((cut / 3))}}"
		cut=$((cut + 40))
	done
}

verify() {
	need Answers -ge 800
	shown=", wrong answers $(figure WrongAnswers)"
}
